package deployer

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/xdg-go/scram"

	"tarragonshed.example/adopter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/pooler"
	"tarragonshed.example/recorder"
	"tarragonshed.example/standin/platform"
	"tarragonshed.example/standin/shaper"
	"tarragonshed.example/standin/target"
	"tarragonshed.example/tarragonshed/daemon"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/tarragonshed/pusher"
	"tarragonshed.example/tarragonshed/settings"
	"tarragonshed.example/unit"
)

// Ports of a deployment with fixed ports.
const (
	PlatformPort         = 7300
	firstCallerPort      = 6432
	callerPortsPerDomain = 10
	operatorPortOffset   = 1000
	peerPortOffset       = 2000
	firstTargetPort      = 5511
	targetPortsPerGroup  = 10
)

// Timeout and polling interval of the wait for the daemons to become ready.
const (
	readyTimeout  = 30 * time.Second
	readyInterval = 10 * time.Millisecond
)

func callersNode(domain unit.DomainName) shaper.Name {
	return shaper.Name("callers-" + domain)
}

// startTargets starts the instances of all groups and composes the manifest.
func (d *Deployment) startTargets() error {
	secret, err := SCRAMSecret(Caller, Password)
	if err != nil {
		return err
	}
	d.manifest = manifest.Manifest{
		Domains: d.Profile.Domains,
		Callers: []manifest.Caller{{Name: Caller, SCRAMSecret: secret}},
	}
	for number := 1; number <= d.Profile.Groups; number++ {
		if err := d.startGroup(number); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startGroup(number int) error {
	group := manifest.Group{
		Name:         d.Profile.GroupName(number),
		Homes:        d.homes,
		MaxStaleness: manifest.Duration(d.maxStaleness),
	}
	listeners := make([]net.Listener, len(d.Profile.Domains))
	for i := range d.Profile.Domains {
		listener, err := d.listen(firstTargetPort + targetPortsPerGroup*(number-1) + i)
		if err != nil {
			return err
		}
		listeners[i] = listener
		instance := manifest.Instance{
			Name:        unit.InstanceName(fmt.Sprintf("%s-%c", group.Name, 'a'+rune(i))),
			Domain:      d.instanceDomain(number, i),
			Address:     listener.Addr().String(),
			Slots:       d.Profile.Slots,
			Connections: d.Profile.Connections,
		}
		group.Instances = append(group.Instances, instance)
		d.Network.Add(shaper.Node{Name: shaper.Name(instance.Name), Domain: instance.Domain, Kind: shaper.Target})
		d.Network.Bind(instance.Address, shaper.Name(instance.Name))
	}
	d.manifest.Groups = append(d.manifest.Groups, group)
	// The initial primaries of the groups are spread over the failure domains.
	primary := group.Instances[(number-1)%len(group.Instances)]
	for i, instance := range group.Instances {
		options := []target.Option{
			target.WithConnectDelay(d.connectDelay()),
			target.WithListener(listeners[i]),
			target.WithDialer(d.Network.Dialer(shaper.Name(instance.Name))),
			target.WithSlots(instance.Slots),
			target.WithConnections(instance.Connections), target.WithReservedConnections(pooler.ReservedConnections),
			target.WithServiceTime(d.serviceTime),
			target.WithGroupSize(len(group.Instances)),
		}
		if instance.Name == primary.Name {
			options = append(options, target.WithPrimary())
		} else {
			options = append(options, target.WithFollow(primary.Name, primary.Address))
		}
		t, err := target.New(instance.Name, group.Name, options...)
		if err != nil {
			return err
		}
		d.targets[instance.Name] = t
	}
	return nil
}

func (d *Deployment) connectDelay() time.Duration {
	if d.withoutLatency {
		return 0
	}
	return d.Profile.ConnectDelay
}

func (d *Deployment) instanceDomain(group, instance int) unit.DomainName {
	if d.localGroups {
		return d.Profile.Domains[(group-1)%len(d.Profile.Domains)].Name
	}
	return d.Profile.Domains[instance].Name
}

// primary returns the target of the group that is primary in the highest term.
func (d *Deployment) primary(group manifest.Group) (*target.Target, error) {
	var found *target.Target
	var term unit.Term
	for _, i := range group.Instances {
		t := d.targets[i.Name]
		if r := t.Report(); r.Role == "primary" && r.Term >= term {
			found, term = t, r.Term
		}
	}
	if found == nil {
		return nil, fmt.Errorf("deployer: group %s has no primary", group.Name)
	}
	return found, nil
}

// reserveDaemons assigns the ids and addresses of all daemons and opens their
// listeners.
func (d *Deployment) reserveDaemons() error {
	for i, domain := range d.Profile.Domains {
		d.Network.Add(shaper.Node{Name: callersNode(domain.Name), Domain: domain.Name, Kind: shaper.Callers})
		for n := range d.daemonsPerDomain {
			id := unit.DaemonID(fmt.Sprintf("%s-%d", domain.Name, n+1))
			v := &vm{rec: recorder.New(string(id))}
			port := firstCallerPort + callerPortsPerDomain*i + n
			for k, offset := range []int{0, operatorPortOffset, peerPortOffset} {
				listener, err := d.listen(port + offset)
				if err != nil {
					return err
				}
				v.addresses[k] = listener.Addr().String()
				v.reserved = append(v.reserved, listener)
			}
			v.member = member.Daemon{
				ID: id, Incarnation: 1, Domain: domain.Name, State: member.Live,
				CallerAddress: v.addresses[0], OperatorAddress: v.addresses[1], PeerAddress: v.addresses[2],
			}
			d.Network.Add(shaper.Node{Name: shaper.Name(id), Domain: domain.Name, Kind: shaper.VM})
			d.Network.Bind(v.member.PeerAddress, shaper.Name(id))
			d.daemons[id] = v
			d.daemonIDs = append(d.daemonIDs, id)
		}
	}
	return nil
}

// DaemonIDs returns the ids of all daemons, in the order of the profile's
// failure domains.
func (d *Deployment) DaemonIDs() []unit.DaemonID {
	return slices.Clone(d.daemonIDs)
}

// startPlatform starts the platform and pushes the manifest.
func (d *Deployment) startPlatform() error {
	d.Platform = platform.New(platform.WithVMs(d.Daemons()...), platform.WithGroups(d.manifest.Groups...))
	listener, err := d.listen(PlatformPort)
	if err != nil {
		return err
	}
	d.PlatformURL = "http://" + listener.Addr().String()
	d.Network.Add(shaper.Node{Name: platformNode, Kind: shaper.Platform})
	d.Network.Bind(listener.Addr().String(), platformNode)
	mux := http.NewServeMux()
	mux.Handle("/", d.Platform.Handler())
	for path, handler := range d.handlers {
		mux.Handle(path, handler)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return d.pushManifest()
}

// startDaemon starts the daemon of a VM in a new incarnation.
func (d *Deployment) startDaemon(id unit.DaemonID) error {
	d.mu.Lock()
	v := d.daemons[id]
	running := v.daemon != nil
	d.mu.Unlock()
	if running {
		return fmt.Errorf("deployer: daemon %s is already running", id)
	}
	s, err := d.daemonSettings(v)
	if err != nil {
		return err
	}
	options := []daemon.Option{
		daemon.WithDialer(d.Network.Dialer(shaper.Name(id))),
		daemon.WithCallerListenerWrapper(func(l net.Listener) net.Listener {
			return d.Network.Listener(l, shaper.Name(id), callersNode(v.member.Domain))
		}),
		daemon.WithLogger(d.logger.With("daemon", string(id))),
		daemon.WithRecorder(v.rec),
		daemon.WithEntryOptions(d.entryOptions...),
	}
	if v.reserved != nil {
		options = append(options, daemon.WithListeners(v.reserved[0], v.reserved[1], v.reserved[2]))
		v.reserved = nil
	}
	started, err := daemon.New(s, options...)
	if err != nil {
		return err
	}
	d.mu.Lock()
	v.daemon = started
	v.member = started.Self()
	d.mu.Unlock()
	d.Platform.SetVM(started.Self())
	return nil
}

func (d *Deployment) daemonSettings(v *vm) (settings.Settings, error) {
	s := settings.Default()
	s.ID, s.Domain = v.member.ID, v.member.Domain
	s.Callers.Listen, s.Operator.Listen, s.Peers.Listen = v.addresses[0], v.addresses[1], v.addresses[2]
	s.Operator.Token = Token
	s.Platform.URL = d.PlatformURL
	if d.statementTimeout > 0 {
		s.Callers.StatementTimeout = d.statementTimeout
	}
	if d.authority == nil {
		s.Peers.Plaintext = true
		return s, nil
	}
	issued, err := d.authority.Issue(string(v.member.ID))
	s.Callers.TLS, s.Peers.TLS, s.Operator.TLS = issued, issued, issued
	s.Callers.RequireTLS = true
	s.Callers.TLS.Authorities = ""
	return s, err
}

// stopDaemon stops a daemon without draining and resets its connections, as a crash of
// its process does.
func (d *Deployment) stopDaemon(id unit.DaemonID) error {
	d.mu.Lock()
	running := d.daemons[id].daemon
	d.daemons[id].daemon = nil
	d.mu.Unlock()
	if running == nil {
		return fmt.Errorf("deployer: daemon %s is not running", id)
	}
	d.Network.ResetConnections(shaper.Name(id))
	running.Close()
	return nil
}

// Daemon returns the running daemon of a VM.
func (d *Deployment) Daemon(id unit.DaemonID) (*daemon.Daemon, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, ok := d.daemons[id]
	if !ok || v.daemon == nil {
		return nil, false
	}
	return v.daemon, true
}

// markLeaving marks a target in the manifest or a VM on the platform's list.
func (d *Deployment) markLeaving(f Fault) error {
	if f.Daemon != "" {
		if _, ok := d.daemons[f.Daemon]; !ok {
			return fmt.Errorf("deployer: no daemon %q", f.Daemon)
		}
		d.Platform.MarkLeaving(f.Daemon)
		return nil
	}
	t, err := d.target(f.Target)
	if err != nil {
		return err
	}
	name := t.Report().Instance
	for g := range d.manifest.Groups {
		for i := range d.manifest.Groups[g].Instances {
			if d.manifest.Groups[g].Instances[i].Name == name {
				d.manifest.Groups[g].Instances[i].Leaving = true
			}
		}
	}
	return d.pushManifest()
}

// pushManifest pushes the deployment's manifest, as an operator's pipeline does.
func (d *Deployment) pushManifest() error {
	document, err := manifest.Encode(&d.manifest)
	if err != nil {
		return err
	}
	client, err := platformer.New(d.PlatformURL)
	if err != nil {
		return err
	}
	defer client.Close()
	accepted, err := pusher.New(client, d.rec).Push(context.Background(), adopter.Request{
		ID:       adopter.PushID(fmt.Sprintf("deployer-%d", d.manifest.Version+1)),
		Base:     d.manifest.Version,
		Document: document,
		Author:   "deployer",
	})
	if err != nil {
		return err
	}
	d.manifest.Version = accepted.Version
	return nil
}

// awaitReady waits until every daemon serves callers.
func (d *Deployment) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, running := range d.running() {
		for !running.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("deployer: daemon %s is not ready after %v", running.Self().ID, readyTimeout)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// scramIterations is the iteration count of the account's verifier.
const scramIterations = 4096

// SCRAMSecret returns the SCRAM verifier of a caller's password in PostgreSQL's format.
func SCRAMSecret(caller, password string) (string, error) {
	client, err := scram.SHA256.NewClient(caller, password, "")
	if err != nil {
		return "", err
	}
	const salt = "tarragonshed-demo"
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: scramIterations})
	if err != nil {
		return "", err
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", scramIterations, encode([]byte(salt)), encode(stored.StoredKey), encode(stored.ServerKey)), nil
}

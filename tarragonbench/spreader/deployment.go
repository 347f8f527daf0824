package spreader

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	goahttp "goa.design/goa/v3/http"

	"tarragonshed.example/internal/porter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/standin/platform"
	"tarragonshed.example/standin/target"
	"tarragonshed.example/unit"
	wiredaemon "tarragonshed.example/wire/operator/gen/daemon"
	daemonclient "tarragonshed.example/wire/operator/gen/http/daemon/client"
)

// token is the bearer token of all daemons.
const token = "spreader"

// secret is the verifier of an account that nobody uses.
const secret = "SCRAM-SHA-256$4096:c2FsdA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// stopTimeout is the time that processes have to end.
const stopTimeout = 10 * time.Second

// deployment is a platform, targets, and daemons as processes.
type deployment struct {
	plan      Plan
	folder    string
	platform  *platform.Platform
	listeners [domains]net.Listener
	servers   []*http.Server
	targets   []*target.Target
	daemons   []*process
	manifest  manifest.Manifest
	// cut cuts the last failure domain off from the platform.
	cut atomic.Bool
}

// process is a daemon.
type process struct {
	id      string
	command *exec.Cmd
	client  *daemonclient.Client
	metrics string
}

func deploy(ctx context.Context, plan Plan, folder string) (*deployment, error) {
	d := &deployment{plan: plan, folder: folder, platform: platform.New()}
	d.manifest.Callers = []manifest.Caller{{Name: "caller", SCRAMSecret: secret}}
	if err := d.start(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context) error {
	for i := range domains {
		name := unit.DomainName(fmt.Sprintf("domain-%d", i))
		d.manifest.Domains = append(d.manifest.Domains, manifest.Domain{Name: name, Region: unit.RegionName(fmt.Sprintf("region-%d", i))})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return trace.Wrap(err)
		}
		d.listeners[i] = listener
		server := &http.Server{Handler: d.gate(i, d.platform.Handler()), ReadHeaderTimeout: time.Minute}
		d.servers = append(d.servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	for n := range d.plan.Groups {
		if err := d.startGroup(n); err != nil {
			return err
		}
	}
	for n := range d.plan.Daemons {
		if err := d.startDaemon(ctx, n); err != nil {
			return err
		}
	}
	return d.run()
}

// gate breaks the connections of the last failure domain while it is cut off.
func (d *deployment) gate(domain int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if domain == domains-1 && d.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (d *deployment) platformURL(domain int) string {
	return "http://" + d.listeners[domain].Addr().String()
}

func (d *deployment) startGroup(n int) error {
	group := manifest.Group{Name: unit.GroupName(fmt.Sprintf("group-%d", n)), Homes: 2}
	listeners := make([]net.Listener, domains)
	for i := range domains {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return trace.Wrap(err)
		}
		listeners[i] = listener
		group.Instances = append(group.Instances, manifest.Instance{
			Name: unit.InstanceName(fmt.Sprintf("%s-%c", group.Name, 'a'+rune(i))), Domain: d.manifest.Domains[i].Name,
			Address: listener.Addr().String(), Slots: 3, Connections: 20,
		})
	}
	primary := group.Instances[n%domains]
	for i, instance := range group.Instances {
		role := target.WithFollow(primary.Name, primary.Address)
		if instance.Name == primary.Name {
			role = target.WithPrimary()
		}
		t, err := target.New(instance.Name, group.Name, target.WithListener(listeners[i]), target.WithGroupSize(domains),
			target.WithSlots(instance.Slots), target.WithConnections(instance.Connections), role)
		if err != nil {
			return trace.Wrap(err)
		}
		d.targets = append(d.targets, t)
	}
	d.manifest.Groups = append(d.manifest.Groups, group)
	return nil
}

func (d *deployment) startDaemon(ctx context.Context, n int) error {
	domain := n % domains
	id := fmt.Sprintf("daemon-%03d", n)
	var addresses [3]string
	for i := range addresses {
		address, err := porter.FreeAddress()
		if err != nil {
			return trace.Wrap(err)
		}
		addresses[i] = address
	}
	settings := fmt.Sprintf("id = %q\nincarnation = 1\ndomain = %q\n[callers]\nlisten = %q\n[operator]\nlisten = %q\ntoken = %q\n[peers]\nlisten = %q\nplaintext = true\n[platform]\nurl = %q\n[log]\nlevel = \"error\"\n",
		id, d.manifest.Domains[domain].Name, addresses[0], addresses[1], token, addresses[2], d.platformURL(domain))
	path := filepath.Join(d.folder, id+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return trace.Wrap(err)
	}
	d.platform.SetVM(member.Daemon{
		ID: unit.DaemonID(id), Incarnation: 1, Domain: d.manifest.Domains[domain].Name, State: member.Live,
		CallerAddress: addresses[0], OperatorAddress: addresses[1], PeerAddress: addresses[2],
	})
	p := &process{id: id, command: exec.CommandContext(ctx, d.plan.Program, "serve", "--settings", path), metrics: "http://" + addresses[1] + "/metrics"}
	p.command.Stderr = os.Stderr
	p.client = daemonclient.NewClient("http", addresses[1], &http.Client{Transport: authorizer{}, Timeout: limit}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	d.daemons = append(d.daemons, p)
	return nil
}

// run starts the processes.
func (d *deployment) run() error {
	for _, p := range d.daemons {
		if err := p.command.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// authorizer adds the token to each call.
type authorizer struct{}

// RoundTrip implements [http.RoundTripper].
func (authorizer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+token)
	return http.DefaultTransport.RoundTrip(r)
}

func (p *process) status(ctx context.Context) (*wiredaemon.StatusResult, error) {
	answer, err := p.client.Status()(ctx, nil)
	if err != nil {
		return nil, err
	}
	return answer.(*wiredaemon.StatusResult), nil
}

func (d *deployment) close() {
	for _, p := range d.daemons {
		if p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range d.daemons {
		if p.command.Process != nil {
			stop := time.AfterFunc(stopTimeout, func() { _ = p.command.Process.Kill() })
			_ = p.command.Wait()
			stop.Stop()
		}
	}
	for _, t := range d.targets {
		t.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

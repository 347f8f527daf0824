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

	"tarragonshed.example/internal/allocator"
	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/standin/platform"
	"tarragonshed.example/standin/target"
	"tarragonshed.example/unit"
	wiredaemon "tarragonshed.example/wire/operator/gen/daemon"
	daemonclient "tarragonshed.example/wire/operator/gen/http/daemon/client"
)

// token is the operators' bearer token on all daemons.
const token = "spreader"

// scramSecret is the SCRAM verifier of a client account under which no caller connects.
// The manifest must hold an account, because each push renames it.
const scramSecret = "SCRAM-SHA-256$4096:c2FsdA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// stopTimeout bounds the time that a daemon's process has to exit after SIGTERM before it
// is killed.
const stopTimeout = 10 * time.Second

// deployment is a platform and targets in this process, and daemons as processes of their
// own.
type deployment struct {
	plan      Plan
	folder    string
	platform  *platform.Platform
	listeners [domains]net.Listener
	servers   []*http.Server
	targets   []*target.Target
	daemons   []*process
	manifest  manifest.Manifest
	// partitioned is true while the last failure domain cannot reach the platform.
	partitioned atomic.Bool
}

// process is a daemon's process. The field metrics is the URL of its metrics.
type process struct {
	id      string
	command *exec.Cmd
	client  *daemonclient.Client
	metrics string
}

// deploy starts a deployment. The daemons' settings are written to the folder.
func deploy(ctx context.Context, plan Plan, folder string) (*deployment, error) {
	d := &deployment{plan: plan, folder: folder, platform: platform.New()}
	d.manifest.Callers = []manifest.Caller{{Name: "caller", SCRAMSecret: scramSecret}}
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
		server := &http.Server{Handler: d.partitionHandler(i, d.platform.Handler()), ReadHeaderTimeout: time.Minute}
		d.servers = append(d.servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	for n := range d.plan.Groups {
		if err := d.startGroup(n); err != nil {
			return err
		}
	}
	for n := range d.plan.Daemons {
		if err := d.prepareDaemon(ctx, n); err != nil {
			return err
		}
	}
	return d.startProcesses()
}

// partitionHandler returns a handler that aborts the requests of the last failure domain
// while it is partitioned from the platform, and passes all others to next.
func (d *deployment) partitionHandler(domain int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if domain == domains-1 && d.partitioned.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// platformURL returns the URL by which a failure domain reaches the platform.
func (d *deployment) platformURL(domain int) string {
	return "http://" + d.listeners[domain].Addr().String()
}

// startGroup starts the targets of a group, one in each failure domain, and adds the group
// to the manifest.
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

// prepareDaemon writes a daemon's settings, lists it on the platform and prepares its
// process, which startProcesses starts.
func (d *deployment) prepareDaemon(ctx context.Context, n int) error {
	domain := n % domains
	id := fmt.Sprintf("daemon-%03d", n)
	var addresses [3]string
	for i := range addresses {
		address, err := allocator.FreeAddress()
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
	p.client = daemonclient.NewClient("http", addresses[1], &http.Client{Transport: tokenTransport{}, Timeout: adoptionTimeout}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	d.daemons = append(d.daemons, p)
	return nil
}

// startProcesses starts the processes of all daemons.
func (d *deployment) startProcesses() error {
	for _, p := range d.daemons {
		if err := p.command.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// tokenTransport adds the bearer token to each request.
type tokenTransport struct{}

// RoundTrip implements [http.RoundTripper].
func (tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+token)
	return http.DefaultTransport.RoundTrip(r)
}

// status returns the daemon's status.
func (p *process) status(ctx context.Context) (*wiredaemon.StatusResult, error) {
	response, err := p.client.Status()(ctx, nil)
	if err != nil {
		return nil, err
	}
	return response.(*wiredaemon.StatusResult), nil
}

// close stops the daemons, and after them the targets and the platform's servers.
func (d *deployment) close() {
	for _, p := range d.daemons {
		if p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range d.daemons {
		if p.command.Process != nil {
			killTimer := time.AfterFunc(stopTimeout, func() { _ = p.command.Process.Kill() })
			_ = p.command.Wait()
			killTimer.Stop()
		}
	}
	for _, t := range d.targets {
		t.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// Package deployer runs a whole deployment in one process over real loopback
// sockets: a platform, the targets of every group, and daemons, with the
// latencies of a users' deployment between them.
//
// # Components
//
// Every component is a node of a [shaper.Network], so that it can be cut off,
// paused or silenced. Daemons run the code of `tarragonshed serve`; only their
// dialer and their listener for callers go through the network.
//
// # Usage
//
//	d, err := deployer.New(deployer.WithProfile(deployer.Trust()))
//	if err != nil {
//		return err
//	}
//	defer d.Close()
//	conn, err := pgx.Connect(ctx, d.URL("lautoka-shed-1", "pulp-ledger-1"))
//	...
//	err = d.Inject(deployer.Fault{Kind: deployer.StopTarget, Target: "primary:pulp-ledger-1"})
package deployer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/recorder"
	"tarragonshed.example/standin/platform"
	"tarragonshed.example/standin/shaper"
	"tarragonshed.example/standin/target"
	"tarragonshed.example/tarragonshed/daemon"
	"tarragonshed.example/tarragonshed/entry"
	"tarragonshed.example/unit"
)

// The client account that every deployment accepts.
const (
	Caller   = "demo"
	Password = "demo"
)

// Token is the bearer token of the operator API of every daemon.
const Token = "demo"

const platformNode = shaper.Name("platform")

// Deployment is a running deployment. It is safe for concurrent use.
type Deployment struct {
	// Profile is the users' deployment that this one reproduces.
	Profile  Profile
	Network  *shaper.Network
	Platform *platform.Platform
	// PlatformURL is the base URL of the platform.
	PlatformURL string

	daemonsPerDomain int
	localGroups      bool
	fixedPorts       bool
	withoutLatency   bool
	homes            int
	entryOptions     []entry.Option
	maxStaleness     time.Duration
	serviceTime      time.Duration
	authority        *Authority
	statementTimeout time.Duration
	logger           *log.Logger
	rec              *recorder.Recorder
	handlers         map[string]http.Handler

	mu        sync.Mutex
	manifest  manifest.Manifest
	targets   map[unit.InstanceName]*target.Target
	daemons   map[unit.DaemonID]*vm
	daemonIDs []unit.DaemonID
	servers   []*http.Server
}

// vm is an entry VM and the daemon that runs on it.
type vm struct {
	member    member.Daemon
	addresses [3]string
	// reserved are the listeners at these addresses until the first start.
	reserved []net.Listener
	daemon   *daemon.Daemon
	rec      *recorder.Recorder
}

// Option changes a Deployment under construction.
type Option func(*Deployment)

// WithProfile sets the users' deployment. The default is [Trust].
func WithProfile(p Profile) Option { return func(d *Deployment) { d.Profile = p } }

// WithDaemons sets the number of daemons in each failure domain. The default
// is four.
func WithDaemons(perDomain int) Option { return func(d *Deployment) { d.daemonsPerDomain = perDomain } }

// WithLocalGroups puts the instances of a group into one failure domain.
func WithLocalGroups() Option { return func(d *Deployment) { d.localGroups = true } }

// WithFixedPorts uses the ports that the README lists. The default is free ports.
func WithFixedPorts() Option { return func(d *Deployment) { d.fixedPorts = true } }

// WithoutLatency disables latencies and connection delays.
func WithoutLatency() Option { return func(d *Deployment) { d.withoutLatency = true } }

// WithEntryOptions adds options of the entry of every daemon, its endpoint for callers.
func WithEntryOptions(options ...entry.Option) Option {
	return func(d *Deployment) { d.entryOptions = append(d.entryOptions, options...) }
}

// WithHomes sets the number of homes of each instance: the daemons that own the
// connections to it. The default is two.
func WithHomes(n int) Option { return func(d *Deployment) { d.homes = n } }

// WithMaxStaleness sets the default staleness bound of the reads of every group.
func WithMaxStaleness(age time.Duration) Option {
	return func(d *Deployment) { d.maxStaleness = age }
}

// WithServiceTime sets how long each statement occupies its slot of an instance.
func WithServiceTime(t time.Duration) Option { return func(d *Deployment) { d.serviceTime = t } }

// WithStatementTimeout sets the statement timeout of the daemons.
func WithStatementTimeout(t time.Duration) Option {
	return func(d *Deployment) { d.statementTimeout = t }
}

// WithAuthority makes callers, daemons and operators use TLS with certificates of
// the authority.
func WithAuthority(a *Authority) Option { return func(d *Deployment) { d.authority = a } }

// WithLogger sets the logger of the daemons. The default discards.
func WithLogger(l *log.Logger) Option { return func(d *Deployment) { d.logger = l } }

// WithRecorder sets the recorder of the deployment's own events.
func WithRecorder(r *recorder.Recorder) Option { return func(d *Deployment) { d.rec = r } }

// WithHandler adds a handler for a path at the platform's address.
func WithHandler(path string, h http.Handler) Option {
	return func(d *Deployment) { d.handlers[path] = h }
}

// New starts a deployment and waits until every daemon has the manifest in
// force and every group has a primary.
func New(options ...Option) (*Deployment, error) {
	d := &Deployment{
		Profile:          Trust(),
		daemonsPerDomain: 4,
		homes:            2,
		logger:           log.New(io.Discard),
		rec:              recorder.New("standin"),
		handlers:         make(map[string]http.Handler),
		targets:          make(map[unit.InstanceName]*target.Target),
		daemons:          make(map[unit.DaemonID]*vm),
	}
	for _, option := range options {
		option(d)
	}
	if d.daemonsPerDomain < 1 || d.daemonsPerDomain > 10 {
		return nil, fmt.Errorf("deployer: %d daemons per domain is not between 1 and 10", d.daemonsPerDomain)
	}
	var networkOptions []shaper.Option
	if !d.withoutLatency {
		networkOptions = append(networkOptions, shaper.WithLatency(d.Profile.latency()))
	}
	d.Network = shaper.New(networkOptions...)
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	for _, step := range []func() error{d.startTargets, d.reserveDaemons, d.startPlatform, d.startDaemons, d.awaitReady} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startDaemons() error {
	for _, id := range d.DaemonIDs() {
		if err := d.startDaemon(id); err != nil {
			return err
		}
	}
	return nil
}

// URL returns the connection string of a daemon for a group.
func (d *Deployment) URL(id unit.DaemonID, group unit.GroupName) string {
	security := "sslmode=disable"
	if d.authority != nil {
		security = "sslmode=verify-full&sslrootcert=" + d.authority.path("authority")
	}
	return fmt.Sprintf("postgres://%s:%s@%s/%s?%s", Caller, Password, d.daemons[id].member.CallerAddress, group, security)
}

// Daemons returns the daemons with their addresses, in the order of
// [Deployment.DaemonIDs].
func (d *Deployment) Daemons() []member.Daemon {
	var list []member.Daemon
	for _, id := range d.DaemonIDs() {
		list = append(list, d.daemons[id].member)
	}
	return list
}

// Groups returns the names of the groups.
func (d *Deployment) Groups() []unit.GroupName {
	var names []unit.GroupName
	for _, g := range d.manifest.Groups {
		names = append(names, g.Name)
	}
	return names
}

// Group returns the group with the name from the manifest.
func (d *Deployment) Group(name unit.GroupName) (manifest.Group, bool) { return d.manifest.Group(name) }

// Target returns the target with an instance name or, for "primary:GROUP", the
// primary of the highest term in the group.
func (d *Deployment) Target(name string) (*target.Target, error) { return d.target(name) }

func (d *Deployment) target(name string) (*target.Target, error) {
	groupName, isPrimary := strings.CutPrefix(name, "primary:")
	if !isPrimary {
		t, ok := d.targets[unit.InstanceName(name)]
		if !ok {
			return nil, fmt.Errorf("deployer: no target %q", name)
		}
		return t, nil
	}
	group, ok := d.manifest.Group(unit.GroupName(groupName))
	if !ok {
		return nil, fmt.Errorf("deployer: no group %q", groupName)
	}
	return d.primary(group)
}

// Timeline returns the events of all daemons and of the deployment itself since
// a time.
func (d *Deployment) Timeline(since recorder.Time) []recorder.Event {
	events := d.rec.Since(since)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.daemons {
		events = append(events, v.rec.Since(since)...)
	}
	recorder.Sort(events)
	return events
}

// Shutdown drains the daemons and stops all components. Requests in flight are not
// aborted before the context ends.
func (d *Deployment) Shutdown(ctx context.Context) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, v := range d.running() {
		wait.Go(func() {
			if err := v.Shutdown(ctx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	wait.Wait()
	d.Close()
	return errors.Join(errs...)
}

// Close stops all components without draining.
func (d *Deployment) Close() {
	d.Network.Heal()
	var wait sync.WaitGroup
	for _, running := range d.running() {
		wait.Go(running.Close)
	}
	wait.Wait()
	for _, t := range d.targets {
		t.Resume()
		t.Destroy()
	}
	for _, s := range d.servers {
		s.Close()
	}
	for _, v := range d.daemons {
		for _, l := range v.reserved {
			l.Close()
		}
	}
}

func (d *Deployment) running() []*daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*daemon.Daemon
	for _, v := range d.daemons {
		if v.daemon != nil {
			list = append(list, v.daemon)
		}
	}
	return list
}

// Free ports are chosen below the range from which systems assign ports to outgoing
// connections, so that no such connection takes a port between its choice and its use.
const (
	firstFreePort = 12_000
	lastFreePort  = 32_000
	portAttempts  = 100
)

// listen opens a loopback listener at a port, or at a free one when ports are
// not fixed.
func (d *Deployment) listen(port int) (net.Listener, error) {
	if d.fixedPorts {
		return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	}
	var last error
	for range portAttempts {
		port := firstFreePort + rand.IntN(lastFreePort-firstFreePort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
		last = err
	}
	return nil, last
}

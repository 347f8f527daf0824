package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// Bounds as in the sheets of the small sites.
const (
	graceS      = 6
	lossSlackMs = 200
)

var zones = []string{"pl-north", "cp-forest", "mb-bay"}

// daemon is one process of the system.
type daemon struct {
	name, ip            string
	front, ready, peers string
	command             *exec.Cmd
	log                 *os.File
	exited              chan struct{}
	rig                 *rig
}

// rig is a small deployment on loopback.
type rig struct {
	root, dir string
	record    *record
	store     *store
	cloud     *cloud
	group     *group
	daemons   []*daemon
}

func newRig(root string, r *record) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	c, err := newCloud(r)
	if err != nil {
		return nil, err
	}
	g, err := newGroup("ledger", zones, s, r)
	if err != nil {
		return nil, err
	}
	c.groups[g.name] = g
	d := &rig{root: root, dir: dir, record: r, store: s, cloud: c, group: g}
	d.configure(1)
	return d, nil
}

// configure writes the desired state.
func (r *rig) configure(version int) {
	route := func(host, kind string, timeout int) map[string]any {
		return map[string]any{
			"Name": "r-" + host, "Host": host, "RouteKind": kind, "ServiceName": r.group.name,
			"TimeoutMs": timeout, "TargetLatencyMs": 800, "MaxStalenessMs": 2500, "Priority": 1,
		}
	}
	r.store.put("op", "config", map[string]any{
		"Version":  version,
		"Routes":   []any{route("first", "primary", 1000), route("stale", "bounded_staleness", 3000), route("own", "read_your_writes", 1000)},
		"Services": []any{map[string]any{"Name": r.group.name, "MaxConns": maxConns, "SyncReplicas": r.group.sync}},
		"Limits":   map[string]any{"IdleTxMs": 20000},
	})
}

// freePort returns a port that was free on the address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts a daemon that reaches the call to promote at the given address.
func (r *rig) start(cloudAddr string) (*daemon, error) {
	n := len(r.daemons)
	d := &daemon{name: fmt.Sprintf("front-%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, 11+n), rig: r}
	for _, a := range []*string{&d.front, &d.ready, &d.peers} {
		var err error
		if *a, err = freePort(d.ip); err != nil {
			return nil, err
		}
	}
	seeds := d.peers
	if n > 0 {
		seeds = r.daemons[0].peers
	}
	lines := []string{
		"Node=" + d.name, "Role=proxy", "Class=front", "Serves=front,control", "Ip=" + d.ip, "Zone=" + zones[n%len(zones)], "Region=region-" + zones[n%len(zones)],
		"Listen.Front=" + d.front, "Listen.Ready=" + d.ready, "Listen.Control=" + d.peers, "Seeds=" + seeds, "Bootstrap=true",
		"Limits.CpuShare=0.8", "Limits.Cores=1", "Limits.MemoryMb=544", "Limits.MaxFds=8400", "HeartbeatMs=1200",
		"Bounds.ContactMs=4000", "Bounds.DrainMs=7000", fmt.Sprintf("Bounds.GraceS=%d", graceS), fmt.Sprintf("Bounds.LossSlackMs=%d", lossSlackMs), "Bounds.ConfigApplyMs=3000",
		"Bounds.RequireFencing=false", "platform.Addr=" + r.store.addr, "platform.form=table", "platform.TxMs=4.0", "platform.HistoryS=20",
		"CloudApi.Addr=" + cloudAddr, "CloudApi.Duties=failover", "CloudApi.DutyPerS=50.0",
	}
	for _, z := range zones {
		lines = append(lines, "Zones."+z+"=region-"+z)
	}
	settings := filepath.Join(r.dir, d.name+".conf")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return nil, err
	}
	var err error
	if d.log, err = os.Create(filepath.Join(r.dir, d.name+".log")); err != nil {
		return nil, err
	}
	d.command = exec.Command(filepath.Join(r.root, "target", "tarragonshed-platform"), "serve")
	d.command.Env = append(os.Environ(), "TARRAGONSHED_BOOT="+settings)
	d.command.Dir = r.root
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return nil, err
	}
	d.exited = make(chan struct{})
	go func() {
		d.command.Wait()
		r.record.log("process %s has ended: %v", d.name, d.command.ProcessState)
		close(d.exited)
	}()
	r.daemons = append(r.daemons, d)
	return d, nil
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	response, err := c.Get("http://" + d.ready + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// awaitReady waits until all daemons are ready.
func (r *rig) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range r.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(r.daemons) {
			return nil
		}
	}
	return fmt.Errorf("the daemons are not ready after 20 s")
}

// close ends all processes, and appends what the instances have run and the daemons' logs to
// the record.
func (r *rig) close() {
	r.group.mu.Lock()
	for _, x := range r.group.runs {
		r.record.log("run: %s by %s from %.3f to %.3f: %s", x.id, x.instance, r.record.at(x.at), r.record.at(x.done), x.text)
	}
	r.group.mu.Unlock()
	for _, d := range r.daemons {
		d.command.Process.Kill()
		<-d.exited
		d.log.Close()
	}
	for _, d := range r.daemons {
		text, _ := os.ReadFile(d.log.Name())
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			if !strings.Contains(line, "statement re") {
				fmt.Fprintf(r.record.file, "log of %s: %s\n", d.name, line)
			}
		}
	}
	os.RemoveAll(r.dir)
}

// Command rig plays the scripted cases of the second review. It starts the daemons as processes, with
// the command of the deploy file, before small stand-ins of the store, the promotions, the instances
// and the clients, all on loopback addresses.
//
//	rig CASE RECORD    exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run
//
// It is started in the root of the repository. With TROUBLE=0 in the environment the disruption is left
// out.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	began    = time.Now()
	trouble  = os.Getenv("TROUBLE") != "0"
	recordMu sync.Mutex
	record   *bufio.Writer
	scratch  string
	running  sync.Map // The processes that were started.
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%9.3f ", time.Since(began).Seconds())
	fmt.Fprintf(record, format+"\n", args...)
}

// cut shortens a text for the record.
func cut(text string) string { return text[:min(len(text), 60)] }

// finish ends all processes and exits.
func finish(status int) {
	running.Range(func(_, p any) bool {
		_ = p.(*os.Process).Kill()
		return true
	})
	recordMu.Lock()
	_ = record.Flush()
	recordMu.Unlock()
	_ = os.RemoveAll(scratch)
	os.Exit(status)
}

// fail ends a case that can't run.
func fail(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	note("cannot run: "+format, args...)
	finish(2)
}

func main() {
	cases := map[string]func() bool{"drain": drain, "prepared": prepared, "reborn": reborn, "values": values, "late": late}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	record = bufio.NewWriter(f)
	if scratch, err = os.MkdirTemp("", "review-"); err != nil {
		fail("%v", err)
	}
	time.AfterFunc(115*time.Second, func() { fail("the case took too long") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		fail("interrupted")
	}()
	note("case=%s trouble=%t", os.Args[1], trouble)
	broken := cases[os.Args[1]]()
	note("broken=%t", broken)
	if broken {
		fmt.Println("the rule was broken")
		finish(1)
	}
	fmt.Println("the rule held")
	finish(0)
}

// daemon is one machine of the system and its process.
type daemon struct {
	name, zone, ip        string
	front, ready, control string
	boot                  string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{} // Closed when the process has ended.
	starts  int

	terminatedAt atomic.Int64 // When SIGTERM was sent, in nanoseconds since the epoch, or 0.
}

// site describes a deployment: daemons before services.
type site struct {
	store   *store
	promote string
	daemons []*daemon
	memory  int // MemoryMb
}

var zoneRegions = map[string]string{"lautoka-shed": "viti-west", "labasa-loft": "vanua-north", "suva-office": "suva-central"}

// addDaemons adds a daemon in each of the zones. They are started by start.
func (s *site) addDaemons(zones ...string) {
	for n, zone := range zones {
		ip := fmt.Sprintf("127.0.3.%d", n+1)
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: ip}
		for _, address := range []*string{&d.front, &d.ready, &d.control} {
			l := listen(ip)
			*address = l.Addr().String()
			_ = l.Close()
		}
		s.daemons = append(s.daemons, d)
	}
	var seeds []string
	for _, d := range s.daemons {
		if len(seeds) < 3 {
			seeds = append(seeds, d.control)
		}
	}
	for _, d := range s.daemons {
		d.boot = filepath.Join(scratch, d.name+".conf")
		if err := os.WriteFile(d.boot, []byte(s.settings(d, seeds)), 0o644); err != nil {
			fail("%v", err)
		}
	}
}

// settings returns the settings file of a daemon, with the figures of vfpct-beaters.
func (s *site) settings(d *daemon, seeds []string) string {
	var b strings.Builder
	line := func(name, value string) { fmt.Fprintf(&b, "%s=%s\n", name, value) }
	line("Node", d.name)
	line("Role", "proxy")
	line("Class", "front")
	line("Serves", "front,control")
	line("Ip", d.ip)
	line("Zone", d.zone)
	line("Region", zoneRegions[d.zone])
	for zone, region := range zoneRegions {
		line("Zones."+zone, region)
	}
	line("Listen.Front", d.front)
	line("Listen.Ready", d.ready)
	line("Listen.Control", d.control)
	line("Seeds", strings.Join(seeds, ","))
	b.WriteString(`Bootstrap=true
CountsAsLoss=false
Limits.CpuShare=0.8
Limits.Cores=1
Limits.MaxFds=8400
Limits.LinkMbps=2000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,recover,sql,platform
FaultTolerance.Machines=2
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.ContactMs=4000
Bounds.AckMs=5000
Bounds.CatchUpS=4
Bounds.DrainMs=7000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=3000
Bounds.DowngradeSlackMs=250
Bounds.OuterMs=12000
Bounds.RecoveryS=12
Bounds.RequireFencing=false
Bounds.ThawSlackMs=300
platform.form=table
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.TxMs=4.0
platform.PartWritesS=250
platform.RowBytes=65536
platform.Across=true
platform.HistoryS=20
CloudApi.RatePerS=50.0
CloudApi.Duties=failover
CloudApi.DutyPerS=50.0
`)
	line("Limits.MemoryMb", fmt.Sprint(s.memory))
	line("platform.Addr", s.store.address())
	line("CloudApi.Addr", s.promote)
	return b.String()
}

// route returns a route of the desired state, with the figures of vfpct-beaters.
func route(host, kind, service string) map[string]any {
	r := map[string]any{
		"Name": "r-" + host, "Host": host, "Prefix": "/", "RouteKind": kind, "TimeoutMs": 1000, "TargetLatencyMs": 800,
		"Priority": 1, "ServiceName": service, "MaxAttempts": 2,
	}
	switch kind {
	case "bounded_staleness":
		r["TimeoutMs"], r["MaxStalenessMs"] = 2000, 1500
	case "read_your_writes":
		r["MaxStalenessMs"] = 2500
	}
	return r
}

// desired returns a desired state with the routes and the services to which they lead.
func desired(routes ...map[string]any) map[string]any {
	var services []any
	known := make(map[any]bool)
	for _, r := range routes {
		if name := r["ServiceName"]; !known[name] {
			known[name] = true
			services = append(services, map[string]any{
				"Name": name, "HealthPath": "/health", "MaxConns": 22, "Protocol": "h1", "Tls": false, "SyncReplicas": 0,
			})
		}
	}
	return map[string]any{
		"Version": 7, "Routes": routes, "Services": services,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "IdleTxMs": 3000,
		},
	}
}

// start starts the process of a daemon. The platform starts it again if it ends while again is set.
func (d *daemon) start(again func() bool) {
	root, err := os.Getwd()
	if err != nil {
		fail("%v", err)
	}
	c := exec.Command(filepath.Join(root, "target/tarragonshed-platform"), "serve")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + scratch, "TARRAGONSHED_BOOT=" + d.boot}
	c.Dir = root
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var messages bytes.Buffer
	c.Stderr = &messages
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		c.Stdout, _ = os.OpenFile(filepath.Join(keep, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	}
	if err := c.Start(); err != nil {
		fail("start of a daemon: %v", err)
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.process, d.ended = c.Process, ended
	d.starts++
	d.mu.Unlock()
	running.Store(c.Process.Pid, c.Process)
	note("daemon=%s event=started pid=%d", d.name, c.Process.Pid)
	go func() {
		_ = c.Wait()
		running.Delete(c.Process.Pid)
		first, _, _ := strings.Cut(messages.String(), "\n")
		note("daemon=%s event=ended state=%q message=%q", d.name, c.ProcessState.String(), first)
		close(ended)
		if again != nil && again() {
			time.Sleep(300 * time.Millisecond)
			d.start(again)
		}
	}()
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	note("daemon=%s event=signal signal=%v", d.name, s)
	_ = d.process.Signal(s)
}

// isReady asks the daemon's readiness, as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 900 * time.Millisecond}
	r, err := client.Get("http://" + d.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady() {
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, d := range s.daemons {
			all = all && d.isReady()
		}
		if all {
			return
		}
		if time.Now().After(until) {
			fail("the daemons did not become ready")
		}
	}
}

// reply is the answer to one statement.
type reply struct {
	rows           []string
	code, receipt  string
	state, at      string
	began, arrived time.Time
}

// errNoAnswer means that the connection ended before a complete answer.
var errNoAnswer = errors.New("no complete answer")

// session is a client's session.
type session struct {
	c net.Conn
	r *bufio.Reader
}

// open connects to a daemon and starts a session.
func open(address, database string) (*session, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{c: c, r: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "STARTUP %s u3f1\r\n", database)
	line, err := readLine(s.r)
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("startup: %q, %v", line, err)
	}
	_ = c.SetDeadline(time.Time{})
	return s, nil
}

// do sends a statement and waits for its answer, up to the timeout. After an error the session has
// ended.
func (s *session) do(id, text string, timeout time.Duration) (reply, error) {
	a := reply{began: time.Now()}
	_ = s.c.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(s.c, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := readLine(s.r)
		a.arrived = time.Now()
		if err != nil {
			return a, fmt.Errorf("%w: %v", errNoAnswer, err)
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.receipt = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.at, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (s *session) close() {
	fmt.Fprint(s.c, "TERMINATE\r\n")
	_ = s.c.Close()
}

package spreader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"tarragonshed.example/recorder"
	wiredaemon "tarragonshed.example/wire/operator/gen/daemon"
)

// ticksPerSecond is the number of clock ticks a second, the unit of processor time in
// /proc/PID/stat.
const ticksPerSecond = 100

// Indexes of the fields of /proc/PID/stat, counted from the first field after the
// program's name.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// usage holds the resources that a process has used since its start. The memory is its
// current resident size in MiB; sent and received count the bytes, and calls the number,
// of its own gossip calls.
type usage struct {
	cpu                   time.Duration
	memory                float64
	sent, received, calls float64
}

// measureIdle measures the resources that idle daemons use over the time plan.Rest.
func (d *deployment) measureIdle(ctx context.Context, plan Plan, result *Result) error {
	if plan.Rest <= 0 {
		return nil
	}
	select {
	case <-time.After(5 * time.Second): // Excludes startup from the measurement.
	case <-ctx.Done():
		return ctx.Err()
	}
	start := time.Now()
	before, err := d.usages()
	if err != nil {
		return err
	}
	callsBefore := d.platformCalls()
	select {
	case <-time.After(plan.Rest):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := d.usages()
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	daemonSeconds := seconds * float64(len(d.daemons))
	for i := range after {
		result.Cost.CPU += (after[i].cpu - before[i].cpu).Seconds() / daemonSeconds
		result.Cost.Memory += after[i].memory / float64(len(d.daemons))
		result.Cost.GossipSent += (after[i].sent - before[i].sent) / daemonSeconds
		result.Cost.GossipReceived += (after[i].received - before[i].received) / daemonSeconds
		result.Cost.GossipCalls += (after[i].calls - before[i].calls) / daemonSeconds
	}
	result.PlatformCalls = (d.platformCalls() - callsBefore) / seconds
	result.FalseSuspicions, err = d.suspicions(ctx, start)
	return err
}

// platformCalls returns the number of calls that the platform has received.
func (d *deployment) platformCalls() float64 {
	total := uint64(0)
	for _, n := range d.platform.Calls() {
		total += n
	}
	return float64(total)
}

// suspicions returns the number of suspicions that the timelines of all daemons hold since
// a time.
func (d *deployment) suspicions(ctx context.Context, since time.Time) (int, error) {
	count := 0
	for _, p := range d.daemons {
		response, err := p.client.Timeline()(ctx, &wiredaemon.TimelinePayload{SinceWall: since.UnixNano(), Limit: recorder.DefaultCapacity})
		if err != nil {
			return 0, trace.Wrap(err)
		}
		for _, e := range response.(*wiredaemon.TimelineResult).Events {
			if e.Kind == string(recorder.MemberSuspected) {
				count++
			}
		}
	}
	return count, nil
}

func (d *deployment) usages() ([]usage, error) {
	usages := make([]usage, len(d.daemons))
	for i, p := range d.daemons {
		u, err := p.usage()
		if err != nil {
			return nil, trace.Wrap(err, "spreader: read resource usage of daemon %s", p.id)
		}
		usages[i] = u
	}
	return usages, nil
}

func (p *process) usage() (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, field := range []int{userTimeField, systemTimeField} {
		ticks, err := strconv.Atoi(fields[field])
		if err != nil {
			return u, err
		}
		u.cpu += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	if u.memory, err = residentMiB(p.command.Process.Pid); err != nil {
		return u, err
	}
	return u, p.readMetrics(&u)
}

// residentMiB returns the resident size of a process in MiB.
func residentMiB(pid int) (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, err := strconv.ParseFloat(fields[1], 64)
			return kib / 1024, err
		}
	}
	return 0, trace.NotFound("spreader: process status has no field VmRSS")
}

// readMetrics sets the gossip figures of u from the daemon's metrics.
func (p *process) readMetrics(u *usage) error {
	response, err := http.Get(p.metrics)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var metrics map[string]struct {
		Count float64 `json:"count"`
	}
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		return err
	}
	u.sent = metrics["gossip.bytes-sent"].Count
	u.received = metrics["gossip.bytes-received"].Count
	u.calls = metrics["gossip.calls"].Count
	return nil
}

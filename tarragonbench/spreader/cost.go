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

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// Places of the fields of /proc/PID/stat behind the name of the program.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// usage is what a process has used so far.
type usage struct {
	cpu                   time.Duration
	memory                float64
	sent, received, calls float64
}

// measureRest takes the costs over the plan's time of rest.
func (d *deployment) measureRest(ctx context.Context, plan Plan, result *Result) error {
	if plan.Rest <= 0 {
		return nil
	}
	select {
	case <-time.After(5 * time.Second): // The start is over.
	case <-ctx.Done():
		return ctx.Err()
	}
	began := time.Now()
	before, err := d.usages()
	if err != nil {
		return err
	}
	calls := d.platformCalls()
	select {
	case <-time.After(plan.Rest):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := d.usages()
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	share := seconds * float64(len(d.daemons))
	for i := range after {
		result.Cost.CPU += (after[i].cpu - before[i].cpu).Seconds() / share
		result.Cost.Memory += after[i].memory / float64(len(d.daemons))
		result.Cost.GossipSent += (after[i].sent - before[i].sent) / share
		result.Cost.GossipReceived += (after[i].received - before[i].received) / share
		result.Cost.GossipCalls += (after[i].calls - before[i].calls) / share
	}
	result.PlatformCalls = (d.platformCalls() - calls) / seconds
	result.FalseSuspicions, err = d.suspicions(ctx, began)
	return err
}

func (d *deployment) platformCalls() float64 {
	total := uint64(0)
	for _, n := range d.platform.Calls() {
		total += n
	}
	return float64(total)
}

// suspicions counts the suspicions that daemons have recorded since a time.
func (d *deployment) suspicions(ctx context.Context, since time.Time) (int, error) {
	count := 0
	for _, p := range d.daemons {
		answer, err := p.client.Timeline()(ctx, &wiredaemon.TimelinePayload{SinceWall: since.UnixNano(), Limit: recorder.DefaultCapacity})
		if err != nil {
			return 0, trace.Wrap(err)
		}
		for _, e := range answer.(*wiredaemon.TimelineResult).Events {
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
			return nil, trace.Wrap(err, "spreader: %s", p.id)
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
	return 0, trace.NotFound("spreader: no resident size")
}

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

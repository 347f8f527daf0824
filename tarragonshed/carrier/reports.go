package carrier

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"tarragonshed.example/instance"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// reportTimeout bounds one question for a report.
const reportTimeout = time.Second

// reported is the answer to a question for a report.
type reported struct {
	report instance.Report
	err    error
}

// reports keeps the latest report of each instance and merges questions.
type reports struct {
	fetch func(context.Context, unit.InstanceName) (instance.Report, error)

	mu     sync.Mutex
	latest map[unit.InstanceName]instance.Report
	askers map[unit.InstanceName]*asker
}

// asker is the state of the questions for one instance. Questions that come
// while one is in flight are answered by the next one.
type asker struct {
	asking bool
	next   []chan reported
}

func (r *reports) init(fetch func(context.Context, unit.InstanceName) (instance.Report, error)) {
	r.fetch = fetch
	r.latest = make(map[unit.InstanceName]instance.Report)
	r.askers = make(map[unit.InstanceName]*asker)
}

// Report asks the instance for its report after the call.
func (r *reports) Report(ctx context.Context, name unit.InstanceName) (instance.Report, error) {
	answer := make(chan reported, 1)
	r.mu.Lock()
	a, ok := r.askers[name]
	if !ok {
		a = &asker{}
		r.askers[name] = a
	}
	a.next = append(a.next, answer)
	if !a.asking {
		a.asking = true
		go r.ask(name, a)
	}
	r.mu.Unlock()
	select {
	case got := <-answer:
		return got.report, got.err
	case <-ctx.Done():
		return instance.Report{}, result.New(result.InstanceUnreachable, "instance %s did not report: %v", name, ctx.Err())
	}
}

// ask asks until nobody waits for an answer.
func (r *reports) ask(name unit.InstanceName, a *asker) {
	for {
		r.mu.Lock()
		waiting := a.next
		a.next = nil
		a.asking = len(waiting) > 0
		r.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		ctx, stop := context.WithTimeout(context.Background(), reportTimeout)
		report, err := r.fetch(ctx, name)
		stop()
		if err == nil {
			r.keep(report)
		}
		for _, answer := range waiting {
			answer <- reported{report: report, err: err}
		}
	}
}

func (r *reports) keep(report instance.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.latest[report.Instance]; !ok || report.Supersedes(old) {
		r.latest[report.Instance] = report
	}
}

func (r *reports) keepWire(report *peer.InstanceReport) {
	if report != nil {
		r.keep(translator.FromReport(report))
	}
}

func (r *reports) kept(name unit.InstanceName) (instance.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, ok := r.latest[name]
	return report, ok
}

// fetch asks one home of the instance after the other.
func (l *Streams) fetch(ctx context.Context, name unit.InstanceName) (instance.Report, error) {
	homes, self, err := l.homes(name)
	if err != nil {
		return instance.Report{}, err
	}
	err = result.New(result.HomeUnreachable, "instance %s has no home", name)
	for _, d := range homes {
		if d.ID == self {
			return l.home.Report(ctx, name, false)
		}
		response, failure := l.peer(d.PeerAddress).Report(ctx, connect.NewRequest(&peer.ReportRequest{Instances: []string{string(name)}}))
		if failure != nil {
			l.fail(d.ID)
			err = result.New(result.HomeUnreachable, "daemon %s: %v", d.ID, failure)
			continue
		}
		if len(response.Msg.Reports) == 1 {
			return translator.FromReport(response.Msg.Reports[0]), nil
		}
		err = result.New(result.InstanceUnreachable, "instance %s did not report to daemon %s", name, d.ID)
	}
	return instance.Report{}, err
}

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

// reportTimeout is the timeout of one request for a report.
const reportTimeout = time.Second

// reportResult is the outcome of a request for a report.
type reportResult struct {
	report instance.Report
	err    error
}

// reports caches the latest report of each instance and coalesces requests.
type reports struct {
	fetch func(context.Context, unit.InstanceName) (instance.Report, error)

	mu     sync.Mutex
	latest map[unit.InstanceName]instance.Report
	queues map[unit.InstanceName]*reportQueue
}

// reportQueue holds the calls that wait for a report of one instance. Calls that
// arrive while a request is in flight are served by the next request.
type reportQueue struct {
	inFlight bool
	waiting  []chan reportResult
}

func (r *reports) init(fetch func(context.Context, unit.InstanceName) (instance.Report, error)) {
	r.fetch = fetch
	r.latest = make(map[unit.InstanceName]instance.Report)
	r.queues = make(map[unit.InstanceName]*reportQueue)
}

// Report returns a report that the instance makes after the call.
func (r *reports) Report(ctx context.Context, name unit.InstanceName) (instance.Report, error) {
	answer := make(chan reportResult, 1)
	r.mu.Lock()
	q, ok := r.queues[name]
	if !ok {
		q = &reportQueue{}
		r.queues[name] = q
	}
	q.waiting = append(q.waiting, answer)
	if !q.inFlight {
		q.inFlight = true
		go r.serve(name, q)
	}
	r.mu.Unlock()
	select {
	case got := <-answer:
		return got.report, got.err
	case <-ctx.Done():
		return instance.Report{}, result.New(result.InstanceUnreachable, "instance %s did not report: %v", name, ctx.Err())
	}
}

// serve sends requests until no call is waiting.
func (r *reports) serve(name unit.InstanceName, q *reportQueue) {
	for {
		r.mu.Lock()
		waiting := q.waiting
		q.waiting = nil
		q.inFlight = len(waiting) > 0
		r.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		ctx, stop := context.WithTimeout(context.Background(), reportTimeout)
		report, err := r.fetch(ctx, name)
		stop()
		if err == nil {
			r.store(report)
		}
		for _, answer := range waiting {
			answer <- reportResult{report: report, err: err}
		}
	}
}

func (r *reports) store(report instance.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.latest[report.Instance]; !ok || report.Supersedes(old) {
		r.latest[report.Instance] = report
	}
}

func (r *reports) storeWire(report *peer.InstanceReport) {
	if report != nil {
		r.store(translator.FromReport(report))
	}
}

func (r *reports) cached(name unit.InstanceName) (instance.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, ok := r.latest[name]
	return report, ok
}

// fetch requests a report from the homes of the instance in turn.
func (s *Streams) fetch(ctx context.Context, name unit.InstanceName) (instance.Report, error) {
	homes, self, err := s.homes(name)
	if err != nil {
		return instance.Report{}, err
	}
	err = result.New(result.HomeUnreachable, "instance %s has no home", name)
	for _, d := range homes {
		if d.ID == self {
			return s.home.Report(ctx, name, false)
		}
		response, failure := s.peer(d.PeerAddress).Report(ctx, connect.NewRequest(&peer.ReportRequest{Instances: []string{string(name)}}))
		if failure != nil {
			s.fail(d.ID)
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

package home

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"tarragonshed.example/instance"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// service implements the Carrier service of wire/peer.
type service struct{ home *Home }

// Carry serves a stream from another daemon.
func (s service) Carry(ctx context.Context, bidi *connect.BidiStream[peer.CarryRequest, peer.CarryResponse]) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	requests := make(chan *peer.CarryRequest, 1)
	go func() {
		defer close(requests)
		for {
			request, err := bidi.Receive()
			if err != nil {
				return
			}
			select {
			case requests <- request:
			case <-ctx.Done():
				return
			}
		}
	}()
	served := &stream{home: s.home, requests: requests, send: bidi.Send}
	served.serve(ctx)
	return nil
}

// Report requests reports from instances. Instances that do not answer are left out
// of the response.
func (s service) Report(ctx context.Context, request *connect.Request[peer.ReportRequest]) (*connect.Response[peer.ReportResponse], error) {
	response := &peer.ReportResponse{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, name := range request.Msg.Instances {
		requests.Go(func() {
			report, err := s.home.Report(ctx, unit.InstanceName(name), request.Msg.Cached)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			response.Reports = append(response.Reports, translator.ToReport(report))
		})
	}
	requests.Wait()
	return connect.NewResponse(response), nil
}

// Report returns a report that the instance makes after the call. If cached is set
// and the instance is connected, it returns the latest report received instead.
func (h *Home) Report(ctx context.Context, name unit.InstanceName, cached bool) (instance.Report, error) {
	now := h.holder.Current()
	if now.Manifest == nil {
		return instance.Report{}, result.New(result.NoManifest, "no manifest is in force")
	}
	i, g, ok := now.Manifest.Instance(name)
	if !ok {
		return instance.Report{}, result.New(result.InstanceLeaving, "the manifest has no instance %s", name)
	}
	t := h.target(now, g, i)
	if report, reachable, _ := t.last(); cached && reachable {
		return report, nil
	}
	answer := make(reportRequest, 1)
	t.control.request(answer)
	select {
	case report := <-answer:
		return report, nil
	case <-ctx.Done():
		t.control.withdraw(answer)
		return instance.Report{}, result.New(result.InstanceUnreachable, "instance %s did not report: %v", name, ctx.Err())
	}
}

// Last returns the latest report of an instance that this daemon is a home of. It
// returns false if there is none or the control connection is lost.
func (h *Home) Last(name unit.InstanceName) (instance.Report, bool) {
	h.mu.Lock()
	t, ok := h.targets[name]
	h.mu.Unlock()
	if !ok {
		return instance.Report{}, false
	}
	report, reachable, _ := t.last()
	return report, reachable
}

package gossiper

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"tarragonshed.example/manifest"
	"tarragonshed.example/prober"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// maxMessageBytes is the size limit of a message: the largest document and 1 MiB for the
// updates in the same message.
const maxMessageBytes = manifest.MaxDocumentBytes + 1<<20

// server handles the calls from other daemons.
type server struct{ *Gossiper }

// Probe implements [peerconnect.GossiperHandler]. The response shows that this daemon is
// live.
func (s *server) Probe(_ context.Context, request *connect.Request[peer.ProbeRequest]) (*connect.Response[peer.ProbeResponse], error) {
	sender := s.receive(request.Msg)
	response := &peer.ProbeResponse{News: s.newsFor(sender, nil)}
	return connect.NewResponse(response), nil
}

// ProbeIndirect implements [peerconnect.GossiperHandler]. It probes the target and returns
// whether it responded. A target that is not in the view at the requested address is
// rejected.
func (s *server) ProbeIndirect(ctx context.Context, request *connect.Request[peer.ProbeIndirectRequest]) (*connect.Response[peer.ProbeIndirectResponse], error) {
	sender := s.receive(request.Msg)
	target := unit.DaemonID(request.Msg.GetTarget())
	known, ok := s.holder.Current().View.Find(target)
	if !ok || known.PeerAddress != request.Msg.GetTargetAddress() {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("gossiper: no daemon with the id and address of the target is in the view"))
	}
	probe := &peer.ProbeRequest{News: s.newsFor(target, nil)}
	_, err := call(s.Gossiper, prober.ProbeTimeout, probe, s.client(known.PeerAddress).Probe)
	response := &peer.ProbeIndirectResponse{News: s.newsFor(sender, nil), Reached: err == nil}
	return connect.NewResponse(response), ctx.Err()
}

// Exchange implements [peerconnect.GossiperHandler]. It returns the entries that differ
// from the digest of the request.
func (s *server) Exchange(_ context.Context, request *connect.Request[peer.ExchangeRequest]) (*connect.Response[peer.ExchangeResponse], error) {
	sender := s.receive(request.Msg)
	var differing []prober.Entry
	var digest prober.Digest
	if len(request.Msg.GetDigest()) == len(digest) {
		copy(digest[:], request.Msg.GetDigest())
		s.mu.Lock()
		differing = s.prober.Differing(digest)
		s.mu.Unlock()
	}
	return connect.NewResponse(&peer.ExchangeResponse{News: s.newsFor(sender, differing)}), nil
}

// FetchManifest implements [peerconnect.GossiperHandler]. It returns the document of the
// requested record if that record is in force on this daemon.
func (s *server) FetchManifest(_ context.Context, request *connect.Request[peer.FetchManifestRequest]) (*connect.Response[peer.FetchManifestResponse], error) {
	sender := s.receive(request.Msg)
	requested := recordOf(request.Msg.GetRecord())
	s.mu.Lock()
	inForce, document := s.adopter.InForce(), s.document
	s.mu.Unlock()
	if inForce.Digest != requested.Digest || inForce.Version != requested.Version {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("gossiper: the requested manifest is not in force on this daemon"))
	}
	response := &peer.FetchManifestResponse{News: s.newsFor(sender, nil), Document: document}
	return connect.NewResponse(response), nil
}

// receive handles the updates in a request and returns the id of the sender.
func (s *server) receive(m newsMessage) unit.DaemonID {
	s.handleNews(m.GetNews())
	return unit.DaemonID(m.GetNews().GetSender().GetId())
}

// handleNews passes the updates in a message to the recorder's clock, the prober and the
// adopter.
func (g *Gossiper) handleNews(news *peer.News) {
	if news == nil {
		return
	}
	now := time.Now()
	if at := timeOf(news.GetTime()); at.Wall < now.Add(maxClockLead).UnixNano() {
		g.recorder.Advance(at)
	}
	received := prober.Received{Now: now, Sender: entryOf(news.GetSender())}
	for _, e := range news.GetEntries() {
		received.Entries = append(received.Entries, entryOf(e))
	}
	g.stepProber(received)
	g.handleInForce(received.Sender.ID, news, now)
}

// newsFor returns the updates for the next message to a daemon: the time, this daemon's own
// entry, the record in force, the changed entries that the prober selects, and the differing
// ones.
func (g *Gossiper) newsFor(to unit.DaemonID, differing []prober.Entry) *peer.News {
	at := g.recorder.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	news := &peer.News{
		Time:    &peer.HybridTime{Wall: at.Wall, Counter: at.Counter},
		Sender:  wireEntry(g.prober.Self()),
		InForce: wireRecord(g.adopter.InForce()),
	}
	for _, e := range g.prober.Updates(to) {
		news.Entries = append(news.Entries, wireEntry(e))
	}
	for _, e := range differing {
		news.Entries = append(news.Entries, wireEntry(e))
	}
	return news
}

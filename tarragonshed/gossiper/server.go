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

// maxMessageBytes bounds a message: the largest document and the news around it.
const maxMessageBytes = manifest.MaxDocumentBytes + 1<<20

// server answers other daemons.
type server struct{ *Gossiper }

// Probe implements the service Gossiper.
func (s *server) Probe(_ context.Context, request *connect.Request[peer.ProbeRequest]) (*connect.Response[peer.ProbeResponse], error) {
	sender := s.take(request.Msg)
	response := &peer.ProbeResponse{News: s.news(sender, nil)}
	return connect.NewResponse(response), nil
}

// ProbeIndirect implements the service Gossiper.
func (s *server) ProbeIndirect(ctx context.Context, request *connect.Request[peer.ProbeIndirectRequest]) (*connect.Response[peer.ProbeIndirectResponse], error) {
	sender := s.take(request.Msg)
	target := unit.DaemonID(request.Msg.GetTarget())
	known, ok := s.holder.Current().View.Find(target)
	if !ok || known.PeerAddress != request.Msg.GetTargetAddress() {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("gossiper: the target is not known"))
	}
	probe := &peer.ProbeRequest{News: s.news(target, nil)}
	_, err := call(s.Gossiper, prober.ProbeTimeout, probe, s.client(known.PeerAddress).Probe)
	response := &peer.ProbeIndirectResponse{News: s.news(sender, nil), Reached: err == nil}
	return connect.NewResponse(response), ctx.Err()
}

// Exchange implements the service Gossiper.
func (s *server) Exchange(_ context.Context, request *connect.Request[peer.ExchangeRequest]) (*connect.Response[peer.ExchangeResponse], error) {
	sender := s.take(request.Msg)
	var differing []prober.Entry
	var digest prober.Digest
	if len(request.Msg.GetDigest()) == len(digest) {
		copy(digest[:], request.Msg.GetDigest())
		s.mu.Lock()
		differing = s.prober.Differing(digest)
		s.mu.Unlock()
	}
	return connect.NewResponse(&peer.ExchangeResponse{News: s.news(sender, differing)}), nil
}

// FetchManifest implements the service Gossiper.
func (s *server) FetchManifest(_ context.Context, request *connect.Request[peer.FetchManifestRequest]) (*connect.Response[peer.FetchManifestResponse], error) {
	sender := s.take(request.Msg)
	wanted := recordOf(request.Msg.GetRecord())
	s.mu.Lock()
	inForce, document := s.adopter.InForce(), s.document
	s.mu.Unlock()
	if inForce.Digest != wanted.Digest || inForce.Version != wanted.Version {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("gossiper: the manifest is not in force here"))
	}
	response := &peer.FetchManifestResponse{News: s.news(sender, nil), Document: document}
	return connect.NewResponse(response), nil
}

// take takes in the news of a request and returns who sent it.
func (s *server) take(m message) unit.DaemonID {
	s.hear(m.GetNews())
	return unit.DaemonID(m.GetNews().GetSender().GetId())
}

// hear takes in news.
func (g *Gossiper) hear(news *peer.News) {
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
	g.hearManifest(received.Sender.ID, news, now)
}

// news returns what the next message to a daemon carries.
func (g *Gossiper) news(to unit.DaemonID, differing []prober.Entry) *peer.News {
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

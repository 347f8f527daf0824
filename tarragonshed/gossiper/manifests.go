package gossiper

import (
	"context"
	"errors"
	"strconv"
	"time"

	"tarragonshed.example/adopter"
	"tarragonshed.example/prober"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// poll reads the platform's VM list and manifest row once.
func (g *Gossiper) poll() {
	if vms, revision, err := g.platform.VMs(g.ctx); err == nil {
		g.stepProber(prober.Listed{Now: time.Now(), Revision: revision, VMs: vms})
	}
	row, err := g.platform.Get(g.ctx, adopter.Table, adopter.CurrentKey)
	if errors.Is(err, platformer.ErrNotFound) {
		g.stepAdopter(adopter.NoneAccepted{Now: time.Now()})
		return
	}
	if err != nil {
		return
	}
	record, err := adopter.DecodeRecord(row.Value)
	if err != nil {
		g.logger.Error("manifest row is malformed", "err", err)
		return
	}
	g.stepAdopter(adopter.RecordReceived{Now: time.Now(), Record: record, From: adopter.Platform})
}

// handleInForce passes the record that another daemon has in force to the adopter.
func (g *Gossiper) handleInForce(from unit.DaemonID, news *peer.News, now time.Time) {
	if from == "" {
		return
	}
	if inForce := recordOf(news.GetInForce()); inForce.Valid() {
		g.stepAdopter(adopter.RecordReceived{Now: now, Record: inForce, From: adopter.Peer(from)})
	}
}

// stepAdopter passes an event to the adopter and executes the effects.
func (g *Gossiper) stepAdopter(e adopter.Event) {
	g.mu.Lock()
	effects := g.adopter.Step(e)
	for _, effect := range effects {
		if adopted, ok := effect.(adopter.Adopt); ok {
			g.document = adopted.Document
			g.holder.AdoptManifest(adopted.Manifest) // Under the lock, so that versions are adopted in order.
		}
	}
	g.mu.Unlock()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case adopter.Fetch:
			g.start(func() { g.stepAdopter(g.fetch(effect)) })
		case adopter.Adopt:
			version := strconv.FormatUint(uint64(effect.Record.Version), 10)
			g.recorder.Record(recorder.Event{Kind: recorder.ManifestInForce, Detail: "version " + version})
			g.logger.Info("manifest in force", "version", version)
			g.stepProber(prober.ManifestInForce{Version: effect.Record.Version})
		case adopter.Reject:
			g.logger.Error("manifest rejected", "version", effect.Record.Version, "from", string(effect.From), "reason", effect.Reason)
		}
	}
}

// fetch requests a document from the platform or from a daemon and returns the result.
func (g *Gossiper) fetch(effect adopter.Fetch) adopter.Event {
	document, err := g.fetchFrom(effect)
	if err != nil {
		g.logger.Warn("manifest fetch failed", "version", effect.Record.Version, "from", string(effect.From), "err", err)
		return adopter.FetchFailed{Now: time.Now(), Record: effect.Record, From: effect.From}
	}
	return adopter.Fetched{Now: time.Now(), Record: effect.Record, From: effect.From, Document: document}
}

func (g *Gossiper) fetchFrom(effect adopter.Fetch) ([]byte, error) {
	if effect.From == adopter.Platform {
		ctx, cancel := context.WithTimeout(g.ctx, fetchTimeout)
		defer cancel()
		return g.platform.Object(ctx, adopter.ObjectName(effect.Record.Digest))
	}
	d, ok := g.holder.Current().View.Find(unit.DaemonID(effect.From))
	if !ok {
		return nil, errors.New("gossiper: the daemon that has the manifest is not in the view")
	}
	request := &peer.FetchManifestRequest{News: g.newsFor(d.ID, nil), Record: wireRecord(effect.Record)}
	response, err := call(g, fetchTimeout, request, g.client(d.PeerAddress).FetchManifest)
	if err != nil {
		return nil, err
	}
	return response.GetDocument(), nil
}

// Manifest returns the record and the document of the manifest in force. Both are zero if
// there is none.
func (g *Gossiper) Manifest() (adopter.Record, []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.adopter.InForce(), g.document
}

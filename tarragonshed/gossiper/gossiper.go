// Package gossiper keeps the view of the daemons and the manifest of this daemon up
// to date.
//
// # Usage
//
//	g := gossiper.New(holder, self, gossiper.WithPlatform(client))
//	defer g.Close()
//	mux.Handle(g.Handler())
//	...
//	g.Leave() // Marks this daemon as leaving, for all of them.
package gossiper

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"tarragonshed.example/adopter"
	"tarragonshed.example/member"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/platformer"
)

// pollInterval is the time between two reads of the platform.
const pollInterval = time.Second

// Gossiper keeps a [holder.Holder] up to date. It is safe for concurrent use.
type Gossiper struct {
	holder   *holder.Holder
	platform *platformer.Platformer
	recorder *recorder.Recorder
	logger   *log.Logger
	dial     dialer.Func
	cancel   context.CancelFunc
	done     chan struct{}

	mu      sync.Mutex
	self    member.Daemon
	listed  []member.Daemon
	adopter *adopter.Adopter
}

// Option changes a Gossiper under construction.
type Option func(*Gossiper)

// WithPlatform sets the client of the platform.
func WithPlatform(p *platformer.Platformer) Option {
	return func(g *Gossiper) { g.platform = p }
}

// WithDialer sets how connections to other daemons are opened.
func WithDialer(dial dialer.Func) Option {
	return func(g *Gossiper) { g.dial = dial }
}

// WithRecorder records the changes of the view and of the manifest.
func WithRecorder(r *recorder.Recorder) Option {
	return func(g *Gossiper) { g.recorder = r }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(g *Gossiper) { g.logger = l }
}

// New starts a Gossiper of the daemon self.
func New(h *holder.Holder, self member.Daemon, options ...Option) *Gossiper {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossiper{
		holder: h, self: self, dial: dialer.Default, logger: log.Default(),
		cancel: cancel, done: make(chan struct{}), adopter: adopter.New(time.Now()),
	}
	for _, option := range options {
		option(g)
	}
	g.announce()
	go func() {
		defer close(g.done)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			g.poll(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return g
}

// Handler returns the path and the handler for other daemons.
func (g *Gossiper) Handler() (string, http.Handler) {
	return "/tarragonshed.peer.v1.Gossiper/", http.NotFoundHandler()
}

// Leave marks this daemon as leaving.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.self.State = member.Leaving
	g.mu.Unlock()
	g.announce()
}

// Close stops the Gossiper.
func (g *Gossiper) Close() {
	g.cancel()
	<-g.done
}

// poll reads the platform once.
func (g *Gossiper) poll(ctx context.Context) {
	if g.platform == nil {
		return
	}
	if vms, _, err := g.platform.VMs(ctx); err == nil {
		g.mu.Lock()
		g.listed = vms
		g.mu.Unlock()
		g.announce()
	}
	row, err := g.platform.Get(ctx, adopter.Table, adopter.CurrentKey)
	if errors.Is(err, platformer.ErrNotFound) {
		g.step(ctx, adopter.Answered{Now: time.Now()})
		return
	}
	if err != nil {
		g.step(ctx, adopter.Tick{Now: time.Now()})
		return
	}
	record, err := adopter.DecodeRecord(row.Value)
	if err != nil {
		g.logger.Error("manifest row can't be read", "err", err)
		return
	}
	g.step(ctx, adopter.Heard{Now: time.Now(), Record: record, From: adopter.Platform, Holds: true})
}

// step tells the adopter and carries out what it asks for.
func (g *Gossiper) step(ctx context.Context, e adopter.Event) {
	g.mu.Lock()
	effects := g.adopter.Step(e)
	g.mu.Unlock()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case adopter.Fetch:
			g.step(ctx, g.fetch(ctx, effect))
		case adopter.Adopt:
			g.adopt(effect)
		case adopter.Reject:
			g.logger.Error("manifest rejected", "version", effect.Record.Version, "from", effect.From, "reason", effect.Reason)
		}
	}
}

func (g *Gossiper) adopt(effect adopter.Adopt) {
	g.holder.AdoptManifest(effect.Manifest)
	g.recorder.Record(recorder.Event{Kind: recorder.ManifestInForce, Detail: "version " + strconv.FormatUint(uint64(effect.Record.Version), 10)})
	g.mu.Lock()
	g.self.Manifest = effect.Record.Version
	g.mu.Unlock()
	g.announce()
}

func (g *Gossiper) fetch(ctx context.Context, effect adopter.Fetch) adopter.Event {
	document, err := g.platform.Object(ctx, adopter.ObjectName(effect.Record.Digest))
	if err != nil {
		return adopter.FetchFailed{Now: time.Now(), Record: effect.Record, From: effect.From}
	}
	return adopter.Fetched{Now: time.Now(), Record: effect.Record, From: effect.From, Document: document}
}

// announce puts the view in force.
func (g *Gossiper) announce() {
	g.mu.Lock()
	defer g.mu.Unlock()
	view := member.View{Self: g.self.ID, Daemons: []member.Daemon{g.self}}
	for _, d := range g.listed {
		if d.ID != g.self.ID {
			view.Daemons = append(view.Daemons, d)
		} else if d.Incarnation == g.self.Incarnation && d.State == member.Leaving {
			g.self.State = member.Leaving
			view.Daemons[0].State = member.Leaving
		}
	}
	slices.SortFunc(view.Daemons, func(a, b member.Daemon) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if !slices.Equal(g.holder.Current().View.Daemons, view.Daemons) {
		g.holder.AdoptView(view)
	}
}

package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/promoter"
	"tarragonshed.example/recorder"
	"tarragonshed.example/tarragonshed/controller"
	"tarragonshed.example/unit"
)

// shard runs the promoter of one group under its own lock.
type shard struct {
	watcher *Watcher
	group   unit.GroupName
	// ctx ends the calls that are under way.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	promoter *promoter.Promoter
	links    map[unit.InstanceName]*link
	timer    *time.Timer
	asked    []chan promoter.ChangeEnded
	changed  chan struct{} // Closed when the primary may be another one.
	closed   bool
}

func (w *Watcher) newShard(self unit.DaemonID, group manifest.Group, rank int) *shard {
	ctx, cancel := context.WithCancel(context.Background())
	options := append([]promoter.Option{promoter.WithRank(rank)}, w.promoter...)
	s := &shard{
		watcher: w, group: group.Name, ctx: ctx, cancel: cancel,
		promoter: promoter.New(proposer(self), members(group), options...),
		links:    make(map[unit.InstanceName]*link), changed: make(chan struct{}),
	}
	s.connect(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(0, s.tick)
	return s
}

// adopt hands a newer configuration to the promoter.
func (s *shard) adopt(group manifest.Group, rank int) {
	s.connect(group)
	s.handle(promoter.Reconfigured{Moment: now(), Members: members(group)})
	s.handle(promoter.Ranked{Moment: now(), Rank: rank})
}

// connect keeps one link for each instance of the group.
func (s *shard) connect(group manifest.Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	links := make(map[unit.InstanceName]*link)
	for _, i := range group.Instances {
		l := s.links[i.Name]
		if l == nil || l.address != i.Address {
			l = &link{shard: s, name: i.Name, address: i.Address, control: s.control()}
		}
		links[i.Name] = l
	}
	for name, l := range s.links {
		if links[name] != l {
			go l.close()
		}
	}
	s.links = links
}

func (s *shard) control() []controller.Option {
	return append([]controller.Option{controller.WithDatabase(string(s.group))}, s.watcher.control...)
}

func (s *shard) tick() {
	s.handle(promoter.Tick{Moment: now()})
}

// handle gives the promoter an event and carries out the effects.
func (s *shard) handle(event promoter.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	before := s.promoter.Primary()
	for _, effect := range s.promoter.Handle(event) {
		s.carryOut(effect)
	}
	if s.promoter.Primary() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.timer.Reset(time.Until(s.promoter.Next()))
}

func (s *shard) carryOut(effect promoter.Effect) {
	switch e := effect.(type) {
	case promoter.Probe:
		s.watcher.meters.probes.Inc(1)
		s.on(e.Instance, func(l *link) { l.probe(e) })
	case promoter.Grant:
		s.call(e.Instance, promoter.GrantCall, e.Timeout, func(ctx context.Context, c *controller.Conn) (instance.Report, error) {
			return c.Grant(ctx, e.Term, e.Proposer)
		})
	case promoter.Promote:
		s.call(e.Instance, promoter.PromoteCall, e.Timeout, func(ctx context.Context, c *controller.Conn) (instance.Report, error) {
			return c.Promote(ctx, e.Term, e.Proposer)
		})
	case promoter.Follow:
		s.call(e.Instance, promoter.FollowCall, e.Timeout, func(ctx context.Context, c *controller.Conn) (instance.Report, error) {
			return c.Follow(ctx, e.Term, e.Primary, e.Address)
		})
	case promoter.Quiesce:
		s.on(e.Instance, func(l *link) { l.quiesce(e) })
	case promoter.Emit:
		s.record(e.Event)
	case promoter.ChangeEnded:
		s.answer(e)
	}
}

func (s *shard) call(name unit.InstanceName, kind promoter.Call, timeout time.Duration, do callFunc) {
	s.on(name, func(l *link) { l.call(kind, timeout, do) })
}

// on does something with the link to the instance, if it is still a member.
func (s *shard) on(name unit.InstanceName, do func(*link)) {
	if l := s.links[name]; l != nil {
		go do(l)
	}
}

func (s *shard) record(event recorder.Event) {
	event.Group = s.group
	s.watcher.recorder.Record(event)
	switch event.Kind {
	case recorder.PrimarySuspected:
		s.watcher.logger.Warn("primary suspected", "group", s.group, "instance", event.Instance, "term", event.Term, "reason", event.Detail)
	case recorder.PrimaryPromoted:
		s.watcher.meters.promotions.Inc(1)
		s.watcher.logger.Info("primary promoted", "group", s.group, "instance", event.Instance, "term", event.Term, "reason", event.Detail)
	}
}

func (s *shard) reports() []instance.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promoter.Reports()
}

func (s *shard) primary() promoter.Primary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promoter.Primary()
}

// changePrimary asks for a planned change and waits for its end.
func (s *shard) changePrimary(ctx context.Context, target unit.InstanceName) (unit.InstanceName, error) {
	if err := s.awaitPrimary(ctx); err != nil {
		return "", err
	}
	answer := make(chan promoter.ChangeEnded, 1)
	s.mu.Lock()
	s.asked = append(s.asked, answer)
	s.mu.Unlock()
	s.handle(promoter.ChangeRequested{Moment: now(), Target: target})
	select {
	case ended := <-answer:
		return ended.Primary.Instance, trace.Wrap(ended.Err)
	case <-ctx.Done():
		return "", trace.Wrap(ctx.Err(), "watcher: change of primary")
	case <-s.ctx.Done():
		return "", trace.ConnectionProblem(nil, "watcher: stopped")
	}
}

// awaitPrimary waits until the primary and a majority have reported.
func (s *shard) awaitPrimary(ctx context.Context) error {
	for {
		s.mu.Lock()
		known, changed := s.promoter.PrimaryEstablished(), s.changed
		s.mu.Unlock()
		if known {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(settlePoll):
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "watcher: the group has no primary")
		}
	}
}

const settlePoll = 20 * time.Millisecond

func (s *shard) answer(ended promoter.ChangeEnded) {
	for _, answer := range s.asked {
		answer <- ended
	}
	s.asked = nil
}

func (s *shard) close() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	for _, l := range s.links {
		go l.close()
	}
}

func members(group manifest.Group) []promoter.Member {
	var list []promoter.Member
	for _, i := range group.Instances {
		list = append(list, promoter.Member{Name: i.Name, Address: i.Address, Leaving: i.Leaving})
	}
	return list
}

func now() promoter.Moment {
	return promoter.Moment{At: time.Now(), Random: rand.Float64()}
}

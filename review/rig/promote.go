package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// drainTime is how long an instance that is draining goes on: DrainMs and a little more.
const drainTime = 9 * time.Second

// ackedWrite is a write that was answered with success.
type ackedWrite struct {
	id string
	at time.Time
}

// playPromote cuts one daemon off from the call to promote while primaries are replaced, and
// checks the rule ONE.
func playPromote(r *rig, trouble bool) (int, error) {
	var links []*link
	for n := range 3 {
		k, err := newLink(fmt.Sprintf("front-%d to the call to promote", n), r.cloud.addr, r.record)
		if err != nil {
			return couldnt, err
		}
		links = append(links, k)
		if _, err := r.start(k.addr); err != nil {
			return couldnt, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return couldnt, err
	}
	r.record.log("all daemons are ready")
	var mu sync.Mutex
	var acked []ackedWrite
	stop := make(chan struct{})
	var sessions sync.WaitGroup
	for n := range 2 {
		sessions.Go(func() { r.writeUntil(stop, n, func(w ackedWrite) { mu.Lock(); acked = append(acked, w); mu.Unlock() }) })
	}
	began := time.Now()
	at := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }

	at(3) // The operators replace the primary. The daemon that promotes keeps its connection.
	if err := r.releasePrimary(1); err != nil {
		return couldnt, err
	}
	holder, err := r.holder()
	if err != nil {
		return couldnt, err
	}
	at(12.0)
	if trouble {
		links[holder].cut(true)
	}
	at(12.2) // The next replacement, while the duty holder is cut off from the call to promote.
	old := r.leaderID()
	if err := r.leader().release(drainTime); err != nil {
		return couldnt, err
	}
	for r.leaderID() == old && time.Since(began) < 21*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	if r.leaderID() == old {
		return couldnt, fmt.Errorf("nobody has replaced the primary")
	}
	r.record.log("the primary was replaced by a daemon that is not cut off, or by the only holder")
	time.Sleep(1500 * time.Millisecond) // The next replacement follows.
	if err := r.releasePrimary(0); err != nil {
		return couldnt, err
	}
	if trouble {
		at(22.0) // The cut ends after 10 s.
		links[holder].cut(false)
	}
	at(26)
	close(stop)
	sessions.Wait()
	time.Sleep(200 * time.Millisecond)
	return r.judgePromote(acked)
}

// leader returns the instance that was promoted last.
func (r *rig) leader() *instance {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.leader
}

func (r *rig) leaderID() string { return r.leader().id }

// releasePrimary replaces the primary as planned work and waits until another one leads and
// the daemons use it. If calls is not zero, it waits for so many calls to promote.
func (r *rig) releasePrimary(calls int) error {
	old := r.leader()
	if err := old.release(drainTime); err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.leader() != old && len(r.cloud.seen()) >= calls {
			return nil
		}
	}
	return fmt.Errorf("the primary was not replaced within 5 s")
}

// holder returns the number of the daemon that promoted last.
func (r *rig) holder() (int, error) {
	calls := r.cloud.seen()
	for n, d := range r.daemons {
		if len(calls) > 0 && strings.HasPrefix(calls[len(calls)-1].holder, d.name) {
			return n, nil
		}
	}
	return 0, fmt.Errorf("no daemon has promoted")
}

// writeUntil writes one item after another. Each session uses one daemon, and another one
// after a failure.
func (r *rig) writeUntil(stop chan struct{}, n int, acked func(ackedWrite)) {
	name := fmt.Sprintf("u%df2", n)
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = connect(name, r.daemons[(n+i)%len(r.daemons)], "first"); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		a := c.query(fmt.Sprintf("WRITE %d.%d %s", n, i, name))
		r.record.log("%s: %s WRITE sent at %.3f -> %v (%s)", name, a.id, r.record.at(a.sent), a, c.daemon.name)
		if a.complete && a.code == "" {
			acked(ackedWrite{id: a.id, at: a.ended})
		}
		if !a.complete {
			c.close()
			c = nil
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// judgePromote checks the rule ONE on what the platform and the instances have seen.
func (r *rig) judgePromote(acked []ackedWrite) (int, error) {
	breaks := 0
	highest := promoteCall{}
	holders := map[uint64]string{}
	for _, c := range r.cloud.seen() {
		if c.fence < highest.fence {
			breaks++
			r.record.log("ONE: at %.3f s the platform, which doesn't check fences, sees fence %d from %s after fence %d from %s",
				r.record.at(c.at), c.fence, c.holder, highest.fence, highest.holder)
		}
		if h, ok := holders[c.fence]; ok && h != c.holder {
			breaks++
			r.record.log("ONE: fence %d was sent by %s and by %s", c.fence, h, c.holder)
		}
		holders[c.fence] = c.holder
		if c.fence >= highest.fence {
			highest = c
		}
	}
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	answers := map[string]time.Time{}
	for _, w := range acked {
		answers[w.id] = w.at
	}
	kept := map[string]bool{}
	for _, e := range g.leader.log {
		for _, id := range e.ids {
			kept[id] = true
		}
	}
	old := 0
	missing := 0
	for _, c := range g.committed {
		for _, id := range c.ids {
			if _, ok := answers[id]; !ok {
				continue
			}
			if l, led := g.ledAt(c.at); led && l != c.instance {
				old++
				r.record.log("ONE: write %s was committed at %s at %.3f s, while %s led, and acknowledged", id, c.instance, r.record.at(c.at), l)
			}
			if !kept[id] {
				missing++
			}
		}
	}
	r.record.log("%d writes acknowledged; %d of them committed at an old primary; %d are not in the log of the primary at the end", len(acked), old, missing)
	switch {
	case len(acked) < 100:
		return couldnt, fmt.Errorf("only %d writes were acknowledged", len(acked))
	case breaks+old > 0:
		return broken, nil
	}
	return held, nil
}

package main

import (
	"fmt"
	"sync"
	"time"
)

// readers is the number of sessions that read. An instance alone can't serve all of them.
const readers = 80

// readThink is the time from an answer to the next read.
const readThink = 250 * time.Millisecond

// playSync lets one replica receive nothing for a while and crashes the primary meanwhile, in
// a service with SyncReplicas 1, and checks the rule LOST.
func playSync(r *rig, trouble bool) (int, error) {
	g := r.group
	g.sync, g.slotWait, g.work = 1, time.Millisecond, 33*time.Millisecond
	r.configure(2)
	for range 3 {
		if _, err := r.start(r.cloud.addr); err != nil {
			return couldnt, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return couldnt, err
	}
	r.record.log("all daemons are ready; SyncReplicas is 1")
	var mu sync.Mutex
	var acked []ackedWrite
	answered, refused := 0, 0
	stop := make(chan struct{})
	var sessions sync.WaitGroup
	for n := range 3 {
		sessions.Go(func() { r.writeUntil(stop, n, func(w ackedWrite) { mu.Lock(); acked = append(acked, w); mu.Unlock() }) })
	}
	for n := range readers {
		sessions.Go(func() {
			r.readUntil(stop, n, func(ok bool) {
				mu.Lock()
				defer mu.Unlock()
				if ok {
					answered++
				} else {
					refused++
				}
			})
		})
	}
	began := time.Now()
	at := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	at(3)
	r.logReads(&mu, &answered, &refused)
	if trouble {
		g.mu.Lock()
		g.instances[2].deaf = true
		g.mu.Unlock()
		r.record.log("replica %s receives nothing from now on", g.instances[2].id)
	}
	at(6)
	r.logReads(&mu, &answered, &refused)
	if trouble {
		g.instances[0].goDark()
	}
	at(12)
	close(stop)
	sessions.Wait()
	r.logReads(&mu, &answered, &refused)
	return r.judgeSync(acked)
}

func (r *rig) logReads(mu *sync.Mutex, answered, refused *int) {
	mu.Lock()
	defer mu.Unlock()
	r.record.log("reads answered so far: %d; refused or failed: %d", *answered, *refused)
}

// readUntil sends one read after another on one session, and opens another one after a failure.
func (r *rig) readUntil(stop chan struct{}, n int, done func(ok bool)) {
	name := fmt.Sprintf("u%df3", n)
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
			if c, err = connect(name, r.daemons[n%len(r.daemons)], "stale"); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		a := c.query(fmt.Sprintf("READ %x", (n+i)%2000))
		done(a.complete && a.code == "")
		if !a.complete {
			c.close()
			c = nil
		}
		time.Sleep(readThink)
	}
}

// judgeSync checks that each instance that was promoted has all commits that were acknowledged
// before.
func (r *rig) judgeSync(acked []ackedWrite) (int, error) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	answers := map[string]time.Time{}
	for _, w := range acked {
		answers[w.id] = w.at
	}
	lost := 0
	for _, l := range g.led {
		has := map[string]bool{}
		for _, e := range l.log {
			for _, id := range e.ids {
				has[id] = true
			}
		}
		r.record.log("promoted: %s at %.3f s, the last position in its log is %v", l.instance, r.record.at(l.from), l.log[len(l.log)-1].at)
		for _, c := range g.committed {
			for _, id := range c.ids {
				if at, ok := answers[id]; ok && at.Before(l.from) && !has[id] {
					lost++
					r.record.log("LOST: write %s, committed at %s as %v and acknowledged at %.3f s, isn't in the log of %s", id, c.instance, c.pos, r.record.at(at), l.instance)
				}
			}
		}
	}
	r.record.log("%d writes acknowledged, %d promotions, %d acknowledged writes lost", len(acked), len(g.led), lost)
	switch {
	case len(acked) < 100:
		return couldnt, fmt.Errorf("only %d writes were acknowledged", len(acked))
	case lost > 0:
		return broken, nil
	}
	return held, nil
}

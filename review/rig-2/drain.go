package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// drain: the daemons get SIGTERM in turn and are started again, while some sessions send one single
// read after the other.
func drain() bool {
	const (
		grace    = 6 * time.Second
		rounds   = 12
		sessions = 6
	)
	st := newStore()
	g := newGroup(st, "pulp", smallSite, []string{"lautoka-shed", "labasa-loft", "suva-office"})
	s := &site{store: st, promote: servePromotions(g), memory: 544}
	st.put("op", "config", desired(route("stock", "bounded_staleness", "pulp")))
	s.addDaemons("lautoka-shed", "lautoka-shed", "labasa-loft", "suva-office")
	for _, d := range s.daemons {
		d.start(nil)
	}
	s.awaitReady()
	time.Sleep(time.Second)

	// The platform sends all new connections to one daemon, and from SIGTERM on to the next one.
	var target atomic.Pointer[daemon]
	target.Store(s.daemons[0])
	var lost atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range sessions {
		clients.Go(func() {
			for attempt := 0; ; attempt++ {
				select {
				case <-stop:
					return
				default:
				}
				d := target.Load()
				c, err := open(d.front, "stock")
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				lost.Add(busy(c, d, fmt.Sprintf("c%d.%d", n, attempt), stop))
			}
		})
	}
	for round := range rounds {
		time.Sleep(time.Second)
		if !trouble {
			time.Sleep(time.Second)
			continue
		}
		d := s.daemons[round%len(s.daemons)]
		target.Store(s.daemons[(round+1)%len(s.daemons)])
		d.terminatedAt.Store(time.Now().UnixNano())
		d.signal(syscall.SIGTERM)
		select {
		case <-d.ended:
		case <-time.After(grace):
			d.signal(syscall.SIGKILL)
			<-d.ended
		}
		time.Sleep(200 * time.Millisecond) // The clients record what they saw.
		if lost.Load() > 0 {
			break
		}
		d.terminatedAt.Store(0)
		d.start(nil)
		s.awaitReady()
	}
	close(stop)
	clients.Wait()
	note("requests-lost=%d", lost.Load())
	return lost.Load() > 0
}

// busy sends reads one after the other until the session ends. It returns 1 if the last request was
// lost in the sense of the rule LOST.
func busy(c *session, d *daemon, name string, stop chan struct{}) int64 {
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return 0
		default:
		}
		id := fmt.Sprintf("%s.%d", name, n)
		a, err := c.do(id, fmt.Sprintf("READ item%d", n%20), 4*time.Second)
		if err == nil {
			if n%50 == 0 || a.code != "" {
				note("client=%s daemon=%s id=%s took=%v code=%q state=%s", name, d.name, id, a.arrived.Sub(a.began).Round(time.Millisecond), a.code, a.state)
			}
			if a.state != "I" {
				return 0
			}
			if a.code != "" { // The client tries again later.
				time.Sleep(100 * time.Millisecond)
			}
			continue
		}
		ran := arrivedAtInstance(id)
		at := d.terminatedAt.Load()
		since := a.began.Sub(time.Unix(0, at))
		note("client=%s daemon=%s id=%s took=%v error=%q reached-an-instance=%t sent-after-sigterm=%v", name, d.name, id, a.arrived.Sub(a.began).Round(time.Millisecond), err, ran, since.Round(time.Millisecond))
		// The excuse for requests that are at work in the last sixth of GraceS holds for those that
		// were sent up to 3 s after SIGTERM only.
		if at != 0 && errors.Is(err, errNoAnswer) && ran && since > 3*time.Second {
			note("id=%s broken=LOST", id)
			return 1
		}
		return 0
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// values: an instance refuses a part of its requests, while sessions with different values use it.
func values() bool {
	const (
		sessions = 12
		part     = 0.4 // Of the requests that the instance refuses.
	)
	st := newStore()
	g := newGroup(st, "pulp", smallSite, []string{"lautoka-shed", "labasa-loft", "suva-office"})
	s := &site{store: st, promote: servePromotions(g), memory: 544}
	st.put("op", "config", desired(route("batch", "primary", "pulp")))
	s.addDaemons("lautoka-shed", "labasa-loft")
	var wrong, right atomic.Int64
	for _, i := range g.instances {
		i.ran = func(id string, values map[string]string) {
			name, _, _ := strings.Cut(id, ".")
			if values["office"] == name {
				right.Add(1)
				return
			}
			wrong.Add(1)
			note("instance=%s id=%s broken=PINNED acknowledged-to-the-client=%s on-the-connection=%q", i.id, id, name, values["office"])
		}
	}
	for _, d := range s.daemons {
		d.start(nil)
	}
	s.awaitReady()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range sessions {
		clients.Go(func() { officeClient(fmt.Sprintf("office%d", n), s.daemons[n%len(s.daemons)], stop) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		g.mu.Lock()
		g.primary.refuse = func(string) string {
			if rand.Float64() < part {
				return "RETRY"
			}
			return ""
		}
		g.mu.Unlock()
		note("instance=%s event=refuses-a-part-of-its-requests", g.primary.id)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	note("statements=%d with-other-values=%d", right.Load()+wrong.Load(), wrong.Load())
	return wrong.Load() > 0
}

// officeClient opens sessions, sets the value office to its name and runs statements.
func officeClient(name string, d *daemon, stop chan struct{}) {
	for n := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c, err := open(d.front, "batch")
		if err != nil {
			continue
		}
		a, err := c.do(fmt.Sprintf("%s.%d", name, n), "SET office "+name, 4*time.Second)
		for ; err == nil && a.code == "" && n%8 != 7; n++ {
			id, text := fmt.Sprintf("%s.%d", name, n), "READ charge"
			if n%4 == 3 {
				text = "WRITE charge " + id
			}
			a, err = c.do(id, text, 4*time.Second)
			note("client=%s id=%s code=%q error=%v", name, id, a.code, err)
			time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		}
		n++
		c.close()
	}
}

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// reborn: the primary starts again under its id, and holds nothing of before.
func reborn() bool {
	st := newStore()
	g := newGroup(st, "pulp", smallSite, []string{"lautoka-shed", "labasa-loft", "suva-office"})
	s := &site{store: st, promote: servePromotions(g), memory: 544}
	st.put("op", "config", desired(route("batch", "primary", "pulp")))
	s.addDaemons("lautoka-shed", "lautoka-shed", "labasa-loft", "suva-office")
	for _, d := range s.daemons {
		d.start(nil)
	}
	s.awaitReady()
	time.Sleep(2 * time.Second)
	w, err := open(s.daemons[0].front, "batch")
	if err != nil {
		fail("%v", err)
	}
	if a, err := w.do("w1", "WRITE charge kept", 4*time.Second); err != nil || a.code != "" {
		fail("the write failed: %v %v", a, err)
	}
	note("client=writer id=w1 acknowledged")
	time.Sleep(time.Second)
	var stale atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, d := range s.daemons {
		clients.Go(func() {
			for k := 0; ; {
				c, err := open(d.front, "batch")
				if err != nil {
					time.Sleep(50 * time.Millisecond)
				}
				for ; err == nil; k++ {
					select {
					case <-stop:
						c.close()
						return
					case <-time.After(30 * time.Millisecond):
					}
					var a reply
					id := fmt.Sprintf("r%d.%d", n, k)
					if a, err = c.do(id, "READ charge", 4*time.Second); err != nil {
						continue
					}
					note("client=r%d daemon=%s id=%s code=%q rows=%q receipt=%s", n, d.name, id, a.code, a.rows, a.receipt)
					if a.code == "" && (len(a.rows) != 1 || a.rows[0] != "kept") {
						stale.Add(1)
					}
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		i := g.instances[0]
		i.setCut(true)
		time.Sleep(500 * time.Millisecond)
		i.restartEmpty(300 * time.Millisecond)
		time.AfterFunc(cutTime-500*time.Millisecond, func() {
			i.setCut(false)
			i.register()
		})
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	note("stale-reads=%d", stale.Load())
	return stale.Load() > 0
}

// cutTime is how long the primary does not reach the platform's store.
const cutTime = 5 * time.Second

// setCut cuts the instance off from the platform's store, or ends the cut. Its entry is removed after
// three intervals of silence.
func (i *instance) setCut(on bool) {
	i.group.mu.Lock()
	i.cut = on
	i.group.mu.Unlock()
	note("instance=%s event=cut-from-the-store on=%t", i.id, on)
	if on {
		time.AfterFunc(3*1200*time.Millisecond, func() {
			i.group.mu.Lock()
			silent := i.cut
			i.group.mu.Unlock()
			if silent {
				i.group.store.remove("servers", i.id)
			}
		})
	}
}

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// late: the platform is slow to carry out one call to promote, while two instances are released.
func late() bool {
	const slow = 6 * time.Second
	st := newStore()
	g := newGroup(st, "pulp", smallSite, []string{"lautoka-shed", "labasa-loft", "suva-office"})
	s := &site{store: st, promote: servePromotions(g), memory: 544}
	st.put("op", "config", desired(route("batch", "primary", "pulp")))
	s.addDaemons("lautoka-shed", "labasa-loft", "suva-office")
	for _, d := range s.daemons {
		d.start(nil)
	}
	s.awaitReady()
	time.Sleep(13 * time.Second) // All daemons have been listed for long.
	var broken atomic.Int64
	var acknowledgedAt atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, d := range s.daemons {
		clients.Go(func() {
			for k := 0; ; {
				c, err := open(d.front, "batch")
				for ; err == nil; k++ {
					select {
					case <-stop:
						c.close()
						return
					case <-time.After(30 * time.Millisecond):
					}
					var a reply
					id := fmt.Sprintf("w%d.%d", n, k)
					if a, err = c.do(id, fmt.Sprintf("WRITE charge%d %s", n, id), 4*time.Second); err != nil {
						continue
					}
					_, old := atOldPrimary.Load(id)
					note("client=w%d daemon=%s id=%s code=%q receipt=%s at-old-primary=%t", n, d.name, id, a.code, a.receipt, old)
					if a.code == "" {
						acknowledgedAt.Store(time.Now().UnixNano())
					}
					if a.code == "" && old {
						broken.Add(1)
					}
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	var calls atomic.Int64
	slowPromotion = func() time.Duration {
		if trouble && calls.Add(1) == 1 {
			return slow
		}
		return 0
	}
	g.mu.Lock()
	first := g.primary
	g.mu.Unlock()
	g.release(first)
	time.Sleep(3500 * time.Millisecond)
	g.mu.Lock()
	second := g.primary
	g.mu.Unlock()
	if second == first {
		fail("the first change of primary took too long")
	}
	g.release(second)
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	note("acknowledged-at-the-old-primary=%d last-acknowledged=%v-before-the-end", broken.Load(), time.Since(time.Unix(0, acknowledgedAt.Load())).Round(100*time.Millisecond))
	return broken.Load() > 0
}

package main

import (
	"sync"
	"time"
)

// playLeaving lets one replica receive nothing for a while and crashes the primary meanwhile, in
// a service with SyncReplicas 1 whose other replica is leaving, and checks the rule LOST.
func playLeaving(r *rig, trouble bool) (int, error) {
	g := r.group
	g.sync = 1
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
	stop := make(chan struct{})
	var sessions sync.WaitGroup
	for n := range 3 {
		sessions.Go(func() { r.writeUntil(stop, n, func(w ackedWrite) { mu.Lock(); acked = append(acked, w); mu.Unlock() }) })
	}
	began := time.Now()
	at := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	at(2) // Planned work: a replica is to be shut down. It goes on receiving until it ends.
	g.instances[1].drain()
	time.AfterFunc(drainTime, func() {
		g.instances[1].crash()
		r.store.remove("servers", g.instances[1].id)
	})
	at(3)
	if trouble {
		g.mu.Lock()
		g.instances[2].deaf = true
		g.mu.Unlock()
		r.record.log("replica %s receives nothing from now on", g.instances[2].id)
	}
	at(5)
	if trouble {
		g.instances[0].goDark()
	}
	at(9)
	close(stop)
	sessions.Wait()
	return r.judgeSync(acked)
}

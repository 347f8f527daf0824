package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// prepared: clients prepare statements with long texts, each within the size of a message.
func prepared() bool {
	const (
		memoryMb  = 544
		textBytes = 768 << 10
		clients   = 4
		ends      = 3 // How often a process may not end by itself.
	)
	st := newStore()
	conf := smallSite
	conf.work = 8 * time.Millisecond
	g := newGroup(st, "pulp", conf, []string{"lautoka-shed", "labasa-loft", "suva-office"})
	s := &site{store: st, promote: servePromotions(g), memory: memoryMb}
	st.put("op", "config", desired(route("stock", "bounded_staleness", "pulp")))
	s.addDaemons("lautoka-shed", "labasa-loft")
	stop := make(chan struct{})
	again := func() bool {
		select {
		case <-stop:
			return false
		default:
			return true
		}
	}
	kills := make([]atomic.Int64, len(s.daemons))
	for _, d := range s.daemons {
		d.start(again)
	}
	s.awaitReady()
	for n, d := range s.daemons {
		go d.watchMemory(memoryMb, &kills[n], stop)
	}
	time.Sleep(time.Second)
	var work sync.WaitGroup
	for n := range clients {
		work.Go(func() {
			d := s.daemons[n%len(s.daemons)]
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				c, err := open(d.front, "stock")
				if err != nil {
					continue
				}
				shape := strings.Repeat("q", textBytes)
				if trouble {
					shape = fmt.Sprintf("q%d.%d.%s", n, k, shape[:textBytes-20])
				}
				a, err := c.do(fmt.Sprintf("p%d.%d", n, k), "PARSE s1 READ "+shape, 4*time.Second)
				if err == nil && a.code == "" {
					a, err = c.do(fmt.Sprintf("x%d.%d", n, k), "EXECUTE s1 item", 4*time.Second)
				}
				if err != nil || a.code != "" || k%100 == 0 {
					note("client=%d daemon=%s operation=%d code=%q error=%v", n, d.name, k, a.code, err)
				}
				c.close()
			}
		})
	}
	broken := false
	for until := time.Now().Add(95 * time.Second); !broken && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		broken = true
		for n := range kills {
			broken = broken && kills[n].Load() >= ends
		}
		if !trouble && time.Since(began) > 60*time.Second {
			break
		}
	}
	close(stop)
	work.Wait()
	for n := range kills {
		note("daemon=%s ended-for-memory=%d", s.daemons[n].name, kills[n].Load())
	}
	return broken
}

// watchMemory ends the process when it exceeds its memory, as the platform does.
func (d *daemon) watchMemory(limitMb int64, kills *atomic.Int64, stop chan struct{}) {
	highest, shown := int64(0), int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		d.mu.Lock()
		pid := d.process.Pid
		d.mu.Unlock()
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 2 {
			continue
		}
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		mb := pages * int64(os.Getpagesize()) / (1 << 20)
		if highest = max(highest, mb); highest >= shown+50 {
			shown = highest
			note("daemon=%s resident-MiB=%d", d.name, mb)
		}
		if mb > limitMb {
			note("daemon=%s event=over-the-limit resident-MiB=%d limit-MiB=%d", d.name, mb, limitMb)
			kills.Add(1)
			highest, shown = 0, 0
			d.signal(syscall.SIGKILL)
			time.Sleep(500 * time.Millisecond)
		}
	}
}

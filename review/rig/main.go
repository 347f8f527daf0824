// Command review-rig plays one case of the review: a small deployment of the project's own
// daemons on loopback addresses, with small stand-ins for clients, instances and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	couldnt = 2
)

// limit bounds a run.
const limit = 110 * time.Second

var cases = map[string]struct {
	play func(*rig, bool) (int, error)
	// rounds is how often the case is played, in a new deployment each time, until the rule
	// is broken.
	rounds int
}{
	"promote": {playPromote, 1}, "sync": {playSync, 4}, "smuggle": {playSmuggle, 1}, "leaving": {playLeaving, 1},
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository")
	folder := flag.String("record", ".", "the folder of record.txt")
	flag.Parse()
	os.Exit(play(*name, *root, *folder, os.Getenv("TROUBLE") != "0"))
}

func play(name, root, folder string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	defer file.Close()
	r := &record{started: time.Now(), file: file}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return couldnt
	}
	if _, err := os.Stat(filepath.Join(root, "target", "tarragonshed-platform")); err != nil {
		fmt.Fprintln(os.Stderr, "the system isn't built:", err)
		return couldnt
	}
	stopped := make(chan os.Signal, 2)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	end := result{code: held}
	retried := false
	for round := 1; round <= c.rounds && end.code == held; round++ {
		r.log("round %d of %d at most; trouble: %v", round, c.rounds, trouble)
		end = playRound(r, root, trouble, c.play, stopped)
		if end.code == couldnt && !retried && time.Since(r.started) < limit/2 {
			r.log("the round could not run and is repeated: %v", end.err)
			retried, end = true, result{code: held}
			round--
		}
	}
	if end.err != nil {
		r.log("could not run: %v", end.err)
		fmt.Println("could not run:", end.err)
		return couldnt
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[end.code]
	r.log("verdict: %s", verdict)
	fmt.Println(verdict)
	return end.code
}

// result is the end of a round.
type result struct {
	code int
	err  error
}

// playRound plays the case once in a deployment of its own.
func playRound(r *record, root string, trouble bool, play func(*rig, bool) (int, error), stopped chan os.Signal) result {
	d, err := newRig(root, r)
	if err != nil {
		return result{couldnt, err}
	}
	defer d.close()
	done := make(chan result, 1)
	go func() {
		code, err := play(d, trouble)
		done <- result{code, err}
	}()
	select {
	case end := <-done:
		return end
	case <-time.After(limit - time.Since(r.started)):
		return result{couldnt, fmt.Errorf("not ended after %v", limit)}
	case s := <-stopped:
		stopped <- s // Nothing is repeated.
		return result{couldnt, fmt.Errorf("stopped")}
	}
}

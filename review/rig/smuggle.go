package main

import (
	"fmt"
	"time"
)

// playSmuggle sends writes whose data has several lines, as a free text has, and checks the rule
// UNASKED: each instance runs only what a client has sent, with its text unchanged.
func playSmuggle(r *rig, trouble bool) (int, error) {
	for range 3 {
		if _, err := r.start(r.cloud.addr); err != nil {
			return couldnt, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return couldnt, err
	}
	r.record.log("all daemons are ready")
	lineEnd := " / "
	if trouble {
		lineEnd = "\n" // A message ends with CR LF; a line feed alone is part of its last field.
	}
	sent := map[string]string{}
	answered := 0
	for n := range 20 {
		d := r.daemons[n%len(r.daemons)]
		c, err := connect("u0f4", d, "first")
		if err != nil {
			return couldnt, err
		}
		id := newID()
		text := fmt.Sprintf("WRITE %d rag charge of %d kg%sfreeness unknown", n, n, lineEnd)
		if n%2 == 1 {
			text = fmt.Sprintf("WRITE %d as in the mail:%sQUERY quoted-%d WRITE %d doubled", n, lineEnd, n, n+1000)
		}
		sent[id] = text
		a := c.queryAs(id, text)
		r.record.log("u0f4: QUERY %s %q -> %v (%s)", id, text, a, d.name)
		if a.complete && a.code == "" {
			answered++
		}
		c.close()
	}
	time.Sleep(300 * time.Millisecond)
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	violations := 0
	for _, x := range r.group.runs {
		text, asked := sent[x.id]
		switch {
		case !asked:
			violations++
			r.record.log("UNASKED: instance %s has run %q under the id %s, which no client sent", x.instance, x.text, x.id)
		case text != x.text:
			violations++
			r.record.log("UNASKED: instance %s has run %q under the id %s, whose client sent %q", x.instance, x.text, x.id, text)
		}
	}
	r.record.log("%d of %d writes answered with success, %d statements run that were not sent so", answered, len(sent), violations)
	switch {
	case violations > 0:
		return broken, nil
	case answered < len(sent):
		return couldnt, fmt.Errorf("only %d of %d writes succeeded", answered, len(sent))
	}
	return held, nil
}

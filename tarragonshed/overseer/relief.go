package overseer

import (
	"context"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
)

// successorDelay is the time that a replica has to receive what the primary had received.
const successorDelay = 200 * time.Millisecond

// needsSuccessor reports whether the primary is replaced only if a replica receives its log. A
// leaving primary continues if acknowledged writes must not be lost, because without such a replica
// it would have to be promoted again.
func (o *Overseer) needsSuccessor(g manifest.Group, f *fault) bool {
	return f.reason == strained || f.reason == leaving && g.Synchronous > 0
}

// hasSuccessor reports whether a replica receives the log of the primary at present, although
// it is slow to apply it. Such a replica can take over without the loss of a write: once it is
// the primary it has applied its log, and the old primary, which is not behind, serves reads.
func (o *Overseer) hasSuccessor(g manifest.Group, row authorizer.Leadership) bool {
	ctx, stop := context.WithTimeout(o.ctx, callTimeout)
	primary, err := o.instanceStatus(ctx, g.Name, row.Primary)
	stop()
	if err != nil || !primary.Primary || primary.Term != row.Term {
		o.logger.Info("primary keeps its role: no status", "group", g.Name, "primary", row.Primary, "cause", err)
		return false
	}
	time.Sleep(successorDelay)
	statuses := o.statusOfAll(g)
	for _, i := range g.Instances {
		s, responded := statuses[i.Name]
		if i.Name == row.Primary || i.Leaving || !responded {
			continue
		}
		if !s.Received.Before(primary.Received) {
			o.logger.Info("primary has a successor", "group", g.Name, "primary", row.Primary, "successor", i.Name, "received", s.Received)
			return true
		}
	}
	o.logger.Info("primary keeps its role: no replica receives its log", "group", g.Name, "primary", row.Primary)
	return false
}

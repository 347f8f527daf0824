package deployer_test

import (
	"testing"

	"github.com/matryer/is"
)

// A daemon that knows of no other one would take itself for a home of every
// instance, and serve it across failure domains.
func TestReadyDaemonsKnowOthers(t *testing.T) {
	is := is.New(t)
	_, d := deploy(t)
	for _, id := range d.DaemonIDs() {
		running, ok := d.Daemon(id)
		is.True(ok)
		is.True(len(running.Holder().Current().View.Daemons) > 1)
	}
}

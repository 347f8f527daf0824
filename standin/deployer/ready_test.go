package deployer_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestReadyDaemonsKnowOthers guards against a daemon that is ready before it has
// discovered another one: it would act as a home of every instance and serve
// instances of other failure domains.
func TestReadyDaemonsKnowOthers(t *testing.T) {
	is := is.New(t)
	_, d := deploy(t)
	for _, id := range d.DaemonIDs() {
		running, ok := d.Daemon(id)
		is.True(ok)
		is.True(len(running.Holder().Current().View.Daemons) > 1)
	}
}

package entry

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/result"
)

// TestLostKeyedRequest breaks the stream of a request with a key. The key must
// be claimed, and the request must not be sent again.
func TestLostKeyedRequest(t *testing.T) {
	for name, statements := range map[string][]string{
		"alone":         {"INSERT /*tarragon_request_key='k'*/ x"},
		"by its COMMIT": {"BEGIN /*tarragon_request_key='k'*/", "COMMIT"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			conn := b.connect("")
			last := len(statements) - 1
			for _, s := range statements[:last] {
				_, err := conn.Exec(b.context(), s)
				is.NoErr(err)
			}
			b.fake.change("a", func(i *fakeInstance) { i.breakStream = true })
			b.fake.takeRecorded()
			failed := make(chan error, 1)
			go func() {
				_, err := conn.Exec(b.context(), statements[last])
				failed <- err
			}()
			claimed := false
			mustEventually(t, func() bool {
				opened, _ := b.fake.takeRecorded()
				for _, o := range opened {
					claimed = claimed || o.ClaimKey && string(o.RequestKey) == "k"
				}
				return claimed
			})
			b.fake.change("a", func(i *fakeInstance) { i.breakStream, i.refuse = false, result.RequestCancelled })
			mustCode(t, <-failed, result.RequestCancelled)
			opened, _ := b.fake.takeRecorded()
			for _, o := range opened {
				is.True(o.ClaimKey)
			}
		})
	}
}

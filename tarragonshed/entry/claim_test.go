package entry

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/result"
)

// TestLostKeyedRequest loses the lane of a request with a key: the key is claimed
// and the request is not sent again.
func TestLostKeyedRequest(t *testing.T) {
	for name, statements := range map[string][]string{
		"alone":         {"INSERT /*tarragon_request_key='k'*/ x"},
		"by its COMMIT": {"BEGIN /*tarragon_request_key='k'*/", "COMMIT"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			conn := b.connect("")
			last := len(statements) - 1
			for _, s := range statements[:last] {
				_, err := conn.Exec(b.context(), s)
				is.NoErr(err)
			}
			b.fake.change("a", func(i *fakeInstance) { i.sever = true })
			b.fake.take()
			failed := make(chan error, 1)
			go func() {
				_, err := conn.Exec(b.context(), statements[last])
				failed <- err
			}()
			claimed := false
			mustEventually(t, func() bool {
				opened, _ := b.fake.take()
				for _, o := range opened {
					claimed = claimed || o.ClaimKey && o.RequestKey == "k"
				}
				return claimed
			})
			b.fake.change("a", func(i *fakeInstance) { i.sever, i.refuse = false, result.RequestCancelled })
			mustCode(t, <-failed, result.RequestCancelled)
			opened, _ := b.fake.take()
			for _, o := range opened {
				is.True(o.ClaimKey)
			}
		})
	}
}

package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/instance"
	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/recorder"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/operator"
	"tarragonshed.example/unit"
)

const document = `[[domains]]
name = "x"
region = "r"

[[groups]]
name = "g"

[[groups.instances]]
name = "g-a"
domain = "x"
address = "127.0.0.1:1"
slots = 3
connections = 20
`

// api is an operator API, and the holder and recorder that it reads.
type api struct {
	t       *testing.T
	holder  *holder.Holder
	rec     *recorder.Recorder
	handler http.Handler
}

func start(t *testing.T, options ...operator.Option) *api {
	t.Helper()
	self := member.Daemon{ID: "d1", Incarnation: 1, Domain: "x", State: member.Live, PeerAddress: "p"}
	a := &api{t: t, holder: holder.New(member.View{Self: "d1", Daemons: []member.Daemon{self}}), rec: recorder.New("d1")}
	a.handler = operator.New(a.holder, a.rec, append([]operator.Option{operator.WithToken("secret")}, options...)...).Handler()
	return a
}

func (a *api) adoptManifest() {
	a.t.Helper()
	m, problems := manifest.Parse([]byte(document))
	is.New(a.t).NoErr(problems.Err())
	m.Version = 3
	a.holder.AdoptManifest(m)
}

func (a *api) call(method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("Content-Type", "application/json")
	response := httptest.NewRecorder()
	a.handler.ServeHTTP(response, request)
	return response
}

func assertResponse(t *testing.T, response *httptest.ResponseRecorder, status int, part string) {
	t.Helper()
	if response.Code != status || !strings.Contains(response.Body.String(), part) {
		t.Fatalf("response is %d %s, want %d with %q", response.Code, response.Body, status, part)
	}
}

func TestToken(t *testing.T) {
	a := start(t)
	for _, header := range []string{"", "secret", "Bearer", "Bearer wrong", "Bearer secret2"} {
		request := httptest.NewRequest(http.MethodGet, "/v1/status", nil)
		request.Header.Set("Authorization", header)
		response := httptest.NewRecorder()
		a.handler.ServeHTTP(response, request)
		is.New(t).Equal(response.Code, http.StatusUnauthorized)
	}
	assertResponse(t, a.call(http.MethodGet, "/v1/status", ""), http.StatusOK, `"id":"d1"`)
}

func TestManifest(t *testing.T) {
	a := start(t)
	assertResponse(t, a.call(http.MethodGet, "/v1/manifest", ""), http.StatusConflict, `"code":2006`)
	assertResponse(t, a.call(http.MethodGet, "/v1/groups", ""), http.StatusConflict, `"code":2006`)
	assertResponse(t, a.call(http.MethodPost, "/v1/manifest", `{"push-id":"p","base":0,"document":"eA=="}`), http.StatusConflict, "push is not available on this daemon")
	assertResponse(t, a.call(http.MethodPost, "/v1/manifest", `{"push-id":"p"`), http.StatusBadRequest, "")
}

func TestGroups(t *testing.T) {
	report := instance.Report{Instance: "g-a", Role: instance.Primary, Term: 4, Last: unit.Position{Term: 4, Index: 9}}
	change := func(_ context.Context, _ unit.GroupName, to unit.InstanceName) (unit.InstanceName, error) {
		if to == "bad" {
			return "", result.New(result.NoMajority, "no majority")
		}
		return "g-a", nil
	}
	a := start(t, operator.WithWatcherCount(2), operator.WithChangePrimary(change),
		operator.WithReports(func(unit.GroupName, unit.InstanceName) (instance.Report, bool) { return report, true }))
	a.adoptManifest()
	assertResponse(t, a.call(http.MethodGet, "/v1/groups", ""), http.StatusOK, `"primary":"g-a","term":4,"watchers":["d1"]`)
	assertResponse(t, a.call(http.MethodPost, "/v1/groups/g/primary", ""), http.StatusOK, `"primary":"g-a"`)
	assertResponse(t, a.call(http.MethodPost, "/v1/groups/g/primary?to=bad", ""), http.StatusConflict, `"code":2014`)
}

func TestTimeline(t *testing.T) {
	a := start(t)
	for range 3 {
		a.rec.Record(recorder.Event{Kind: recorder.MemberJoined})
	}
	assertResponse(t, a.call(http.MethodGet, "/v1/timeline?limit=2", ""), http.StatusOK, `"more":true`)
	assertResponse(t, a.call(http.MethodGet, "/v1/timeline", ""), http.StatusOK, `"more":false`)
	assertResponse(t, a.call(http.MethodGet, "/v1/timeline?limit=0", ""), http.StatusBadRequest, "")
}

func TestDrain(t *testing.T) {
	drains := 0
	a := start(t, operator.WithDrain(func() { drains++ }))
	assertResponse(t, a.call(http.MethodPost, "/v1/drain", ""), http.StatusAccepted, "")
	is.New(t).Equal(drains, 1)
	assertResponse(t, start(t).call(http.MethodPost, "/v1/drain", ""), http.StatusConflict, `"code":1008`)
}

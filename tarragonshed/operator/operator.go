// Package operator serves the operator API of wire/operator/design on a daemon.
//
// # Access
//
// With a token, each call has to carry it as a bearer token. Without one, the TLS
// configuration of the listener has to ask for certificates. [Operator.Handler] answers
// under /v1/ only, so that health checks can be mounted next to it.
//
// # Usage
//
//	o := operator.New(holder, rec,
//		operator.WithToken(settings.Operator.Token),
//		operator.WithPusher(pusher),
//		operator.WithManifest(gossiper.Manifest),
//		operator.WithDrain(daemon.StartDrain),
//	)
//	mux.Handle("/v1/", o.Handler())
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"tarragonshed.example/adopter"
	"tarragonshed.example/instance"
	"tarragonshed.example/recorder"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/holder"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/tarragonshed/pusher"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/operator/gen/daemon"
	"tarragonshed.example/wire/operator/gen/group"
	daemonserver "tarragonshed.example/wire/operator/gen/http/daemon/server"
	groupserver "tarragonshed.example/wire/operator/gen/http/group/server"
	manifestserver "tarragonshed.example/wire/operator/gen/http/manifest/server"
	"tarragonshed.example/wire/operator/gen/manifest"
	"tarragonshed.example/wire/operator/gen/types"
)

// maxBodyBytes bounds the body of one call. It leaves room for the base64 form of
// the largest document.
const maxBodyBytes = 8 << 20

// bearer comes before the token in the header.
const bearer = "Bearer "

// Session is a caller's session as operators see it.
type Session struct {
	ID       unit.SessionID
	Caller   unit.CallerName
	Group    unit.GroupName
	Address  string
	State    string
	Since    time.Time
	Position unit.Position
}

// Operator serves the operator API. It is safe for concurrent use.
type Operator struct {
	holder        *holder.Holder
	recorder      *recorder.Recorder
	started       time.Time
	version       string
	token         string
	platform      *platformer.Platformer
	pusher        *pusher.Pusher
	manifest      func() (adopter.Record, []byte)
	sessions      func() []Session
	drain         func()
	report        func(unit.GroupName, unit.InstanceName) (instance.Report, bool)
	changePrimary func(context.Context, unit.GroupName, unit.InstanceName) (unit.InstanceName, error)
	watchers      int
}

// Option changes an Operator under construction.
type Option func(*Operator)

// WithToken sets the bearer token that calls have to carry.
func WithToken(token string) Option { return func(o *Operator) { o.token = token } }

// WithVersion sets the version of the program.
func WithVersion(version string) Option { return func(o *Operator) { o.version = version } }

// WithPlatform sets the client whose reachability the status tells, and by which
// manifests are pushed and read.
func WithPlatform(p *platformer.Platformer) Option {
	return func(o *Operator) { o.platform = p }
}

// WithManifest sets the source of the record and document in force.
func WithManifest(manifest func() (adopter.Record, []byte)) Option {
	return func(o *Operator) { o.manifest = manifest }
}

// WithSessions sets the source of the callers' sessions, ordered by id.
func WithSessions(sessions func() []Session) Option {
	return func(o *Operator) { o.sessions = sessions }
}

// WithDrain sets what starts the drain. It must not block, and do nothing when it is
// called again.
func WithDrain(drain func()) Option { return func(o *Operator) { o.drain = drain } }

// WithReports sets the source of the latest report of an instance.
func WithReports(report func(unit.GroupName, unit.InstanceName) (instance.Report, bool)) Option {
	return func(o *Operator) { o.report = report }
}

// WithChangePrimary sets what changes the primary of a group and returns the new one.
// The target is empty when the best instance is to be chosen.
func WithChangePrimary(change func(ctx context.Context, group unit.GroupName, to unit.InstanceName) (unit.InstanceName, error)) Option {
	return func(o *Operator) { o.changePrimary = change }
}

// WithWatcherCount sets the number of watchers of each group, for the list of groups.
func WithWatcherCount(n int) Option { return func(o *Operator) { o.watchers = n } }

// New returns an Operator of a daemon that starts now. Without options it serves what
// the holder and the recorder hold, and refuses the rest with [result.NotCarried].
func New(h *holder.Holder, rec *recorder.Recorder, options ...Option) *Operator {
	o := &Operator{
		holder: h, recorder: rec, started: time.Now(), version: "unknown",
		manifest: func() (adopter.Record, []byte) { return adopter.Record{}, nil },
		sessions: func() []Session { return nil },
		report:   func(unit.GroupName, unit.InstanceName) (instance.Report, bool) { return instance.Report{}, false },
	}
	for _, option := range options {
		option(o)
	}
	if o.platform != nil {
		o.pusher = pusher.New(o.platform, rec)
	}
	return o
}

// Handler returns the handler of all paths under /v1/.
func (o *Operator) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	daemonserver.Mount(mux, daemonserver.New(daemon.NewEndpoints(&daemonService{o}), mux, decoder, encoder, nil, nil))
	groupserver.Mount(mux, groupserver.New(group.NewEndpoints(&groupService{o}), mux, decoder, encoder, nil, nil))
	manifestserver.Mount(mux, manifestserver.New(manifest.NewEndpoints(&manifestService{o}), mux, decoder, encoder, nil, nil))
	return o.authorize(http.MaxBytesHandler(mux, maxBodyBytes))
}

// authorize lets calls with the token through.
func (o *Operator) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(o.token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		got := sha256.Sum256([]byte(given))
		if o.token != "" && (!ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "the token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refusal turns an error into the answer to a call.
func refusal(err error) error {
	if err == nil {
		return nil
	}
	code := result.CodeOf(err)
	return &types.Refusal{Name: "refused", Code: int(code), Outcome: string(result.OutcomeOf(err)), Detail: err.Error()}
}

// missing refuses a call that the daemon has no part for.
func missing(what string) error {
	return refusal(result.New(result.NotCarried, "this daemon offers no %s", what))
}

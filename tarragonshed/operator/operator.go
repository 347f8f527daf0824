// Package operator serves the operator API of wire/operator/design on a daemon.
//
// # Access
//
// If a token is set, each call must carry it as a bearer token. Otherwise the TLS
// configuration of the listener must require client certificates. [Operator.Handler]
// serves only paths under /v1/, so that health checks can be mounted next to it.
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

// maxBodyBytes limits the size of a request body. It leaves room for the base64
// encoding of the largest manifest.
const maxBodyBytes = 8 << 20

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "Bearer "

// Session is a caller's session as shown to operators. State is one of
// [StateIdle], [StateActive] and [StateTransaction].
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

// WithToken sets the bearer token that calls must carry.
func WithToken(token string) Option { return func(o *Operator) { o.token = token } }

// WithVersion sets the version of the program that the API reports.
func WithVersion(version string) Option { return func(o *Operator) { o.version = version } }

// WithPlatform sets the client of the platform. The status reports whether it reaches
// the platform, and manifests are pushed and read with it.
func WithPlatform(p *platformer.Platformer) Option {
	return func(o *Operator) { o.platform = p }
}

// WithManifest sets the source of the record and document of the manifest in force.
func WithManifest(manifest func() (adopter.Record, []byte)) Option {
	return func(o *Operator) { o.manifest = manifest }
}

// WithSessions sets the source of the callers' sessions, ordered by id.
func WithSessions(sessions func() []Session) Option {
	return func(o *Operator) { o.sessions = sessions }
}

// WithDrain sets the function that starts draining the daemon. It must not block and
// must be idempotent.
func WithDrain(drain func()) Option { return func(o *Operator) { o.drain = drain } }

// WithReports sets the function that returns the latest report of an instance, and
// whether there is one.
func WithReports(report func(unit.GroupName, unit.InstanceName) (instance.Report, bool)) Option {
	return func(o *Operator) { o.report = report }
}

// WithChangePrimary sets the function that changes the primary of a group and returns
// the new one. If to is empty, the function chooses the best instance.
func WithChangePrimary(change func(ctx context.Context, group unit.GroupName, to unit.InstanceName) (unit.InstanceName, error)) Option {
	return func(o *Operator) { o.changePrimary = change }
}

// WithWatcherCount sets the number of watchers of each group, for the list of groups.
func WithWatcherCount(n int) Option { return func(o *Operator) { o.watchers = n } }

// New returns an Operator whose status reports the current time as the start time of
// the daemon. Without options it serves the contents of the holder and the recorder,
// and refuses calls that need more with [result.NotCarried].
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

// authorize rejects calls without the token, if one is set.
func (o *Operator) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(o.token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(given))
		if o.token != "" && (!ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "missing or wrong bearer token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refusal converts an error to the error response of a call, with its result code.
func refusal(err error) error {
	if err == nil {
		return nil
	}
	code := result.CodeOf(err)
	return &types.Refusal{Name: "refused", Code: int(code), Outcome: string(result.OutcomeOf(err)), Detail: err.Error()}
}

// notSupported refuses a call that needs an option which was not set.
func notSupported(what string) error {
	return refusal(result.New(result.NotCarried, "%s is not available on this daemon", what))
}

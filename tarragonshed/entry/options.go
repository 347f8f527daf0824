package entry

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/recorder"
	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/entry/framer"
	"tarragonshed.example/unit"
)

// Defaults of the options.
const (
	DefaultMaxCallers       = 10_000
	DefaultMaxBatch         = 16 * framer.MiB
	DefaultStartupTimeout   = 10 * time.Second
	DefaultStatementTimeout = 30 * time.Second
	DefaultWriteTimeout     = time.Minute
	DefaultKeepalive        = 30 * time.Second
	DefaultReplicaWait      = 100 * time.Millisecond
)

// Limits bound what callers may ask for. A zero field stands for its default.
type Limits struct {
	// MaxCallers is the number of caller connections.
	MaxCallers int
	// MaxBatch is the size in bytes of one message and of what is pipelined up
	// to one Sync.
	MaxBatch int
	// StartupTimeout is how long a connection may take to authenticate.
	StartupTimeout time.Duration
	// StatementTimeout is how long a request may take, waiting included.
	StatementTimeout time.Duration
	// WriteTimeout is how long a caller may take to read a part of an answer.
	WriteTimeout time.Duration
	// Keepalive is the interval of TCP keepalive probes to a silent caller.
	Keepalive time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxCallers, DefaultMaxCallers)
	setDefault(&l.MaxBatch, DefaultMaxBatch)
	setDefault(&l.StartupTimeout, DefaultStartupTimeout)
	setDefault(&l.StatementTimeout, DefaultStatementTimeout)
	setDefault(&l.WriteTimeout, DefaultWriteTimeout)
	setDefault(&l.Keepalive, DefaultKeepalive)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Option changes an Entry under construction.
type Option func(*Entry)

// WithLogger sets the logger. The default drops all messages.
func WithLogger(logger *log.Logger) Option {
	return func(e *Entry) { e.logger = logger }
}

// WithRecorder sets the recorder of events.
func WithRecorder(rec *recorder.Recorder) Option {
	return func(e *Entry) { e.recorder = rec }
}

// WithMetrics sets the registry of metrics.
func WithMetrics(registry metrics.Registry) Option {
	return func(e *Entry) { e.metrics = newFigures(registry) }
}

// WithDomain sets the failure domain of the daemon. Instances in it are
// preferred.
func WithDomain(domain unit.DomainName) Option {
	return func(e *Entry) { e.domain = domain }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option {
	return func(e *Entry) { e.limits = limits.withDefaults() }
}

// WithPolicy sets how replicas are chosen for reads.
func WithPolicy(policy router.Policy) Option {
	return func(e *Entry) { e.policy = policy }
}

// WithReplicaWait sets how long a read may wait for a replica to apply the
// position that it must see, before it goes to the primary. Zero means not at all.
func WithReplicaWait(wait time.Duration) Option {
	return func(e *Entry) { e.replicaWait = wait }
}

// WithTLS offers TLS to callers. If required is true, callers without TLS are
// refused.
func WithTLS(config *tls.Config, required bool) Option {
	return func(e *Entry) { e.tls, e.tlsRequired = config, required }
}

func discardLogger() *log.Logger {
	return log.New(io.Discard)
}

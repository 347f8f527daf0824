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

// Defaults of [Limits] and [WithReplicaWait].
const (
	DefaultMaxCallers       = 10_000
	DefaultMaxBatch         = 16 * framer.MiB
	DefaultStartupTimeout   = 10 * time.Second
	DefaultStatementTimeout = 30 * time.Second
	DefaultWriteTimeout     = time.Minute
	DefaultKeepalive        = 30 * time.Second
	DefaultReplicaWait      = 100 * time.Millisecond
	DefaultMemory           = 256 * framer.MiB
)

// Limits are the bounds on the connections and requests of callers. A zero field
// means its default.
type Limits struct {
	// MaxCallers is the maximum number of caller connections.
	MaxCallers int
	// MaxBatch is the maximum size in bytes of one message, and of the messages
	// that are pipelined up to one Sync.
	MaxBatch int
	// MaxPerCaller is the maximum number of connections of one caller. Its default is
	// MaxCallers.
	MaxPerCaller int
	// Memory is the maximum number of bytes of all sessions together for large batches,
	// prepared statements, responses and the contents of sockets. Its default is
	// DefaultMemory, or more if MaxBatch requires it.
	Memory int64
	// StartupTimeout bounds the startup and authentication of a connection.
	StartupTimeout time.Duration
	// StatementTimeout bounds a request, including the time it waits for an
	// instance.
	StatementTimeout time.Duration
	// WriteTimeout bounds each write to a caller, so that a caller that does
	// not read its response doesn't hold a session.
	WriteTimeout time.Duration
	// Keepalive is the idle time before the first TCP keepalive probe to a
	// caller, and the interval between probes.
	Keepalive time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxCallers, DefaultMaxCallers)
	setDefault(&l.MaxBatch, DefaultMaxBatch)
	setDefault(&l.MaxPerCaller, l.MaxCallers)
	setDefault(&l.Memory, max(DefaultMemory, int64(l.MaxBatch)*batchesInMemory))
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

// Option configures an Entry.
type Option func(*Entry)

// WithLogger sets the logger. By default, log messages are discarded.
func WithLogger(logger *log.Logger) Option {
	return func(e *Entry) { e.logger = logger }
}

// WithRecorder sets the recorder of timeline events.
func WithRecorder(rec *recorder.Recorder) Option {
	return func(e *Entry) { e.recorder = rec }
}

// WithMetrics sets the registry of the metrics. By default, the metrics are in
// a private registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(e *Entry) { e.meters = newMeters(registry) }
}

// WithDomain sets the failure domain of the daemon. Instances in the same
// domain are preferred.
func WithDomain(domain unit.DomainName) Option {
	return func(e *Entry) { e.domain = domain }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option {
	return func(e *Entry) { e.limits = limits.withDefaults() }
}

// WithPolicy sets the policy by which a replica is chosen for a read.
func WithPolicy(policy router.Policy) Option {
	return func(e *Entry) { e.policy = policy }
}

// WithReplicaWait sets how long a read may wait for a replica to apply the
// position that the read requires, before the read is sent to the primary. Zero
// disables the wait.
func WithReplicaWait(wait time.Duration) Option {
	return func(e *Entry) { e.replicaWait = wait }
}

// WithTLS enables TLS for callers. If required is true, connections without TLS
// are rejected.
func WithTLS(config *tls.Config, required bool) Option {
	return func(e *Entry) { e.tls, e.tlsRequired = config, required }
}

func discardLogger() *log.Logger {
	return log.New(io.Discard)
}

package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// readHeaderTimeout bounds how long a request's header may take.
const readHeaderTimeout = 10 * time.Second

// maxStreams is the number of streams that one connection from another daemon
// may have open at once.
const maxStreams = 10_000

// healthHandler answers while the process lives.
func healthHandler(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readyHandler answers 200 while the daemon takes new work.
func (d *Daemon) readyHandler(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// metricsHandler writes every metric as one JSON object.
func (d *Daemon) metricsHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(d.registry, w)
}

// serve runs an HTTP server on a listener until the daemon closes.
func (d *Daemon) serve(listener net.Listener, handler http.Handler) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
}

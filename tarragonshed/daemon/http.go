package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/tarragonshed/carrier"
)

// readHeaderTimeout is the timeout for reading the header of a request.
const readHeaderTimeout = 10 * time.Second

// healthHandler answers 200 as long as the process serves HTTP.
func healthHandler(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readyHandler answers 200 while the daemon accepts new requests, otherwise 503.
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
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          d.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	carrier.Configure(server)
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// Package multiplexer configures HTTP/2 between daemons, so that many streams share one
// connection and a peer that has become silent is noticed.
//
// # Silent peers
//
// A VM that is suspended or cut off doesn't close its connections. Both sides send a ping
// on a connection that has delivered no data for some time, and close it when no answer
// comes. All streams of the connection then fail.
//
// # Usage
//
//	client := &http.Client{Transport: multiplexer.NewTransport(dialer.Default, nil, time.Second)}
//	...
//	server := &http.Server{Handler: handler}
//	multiplexer.Configure(server, time.Second)
package multiplexer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"tarragonshed.example/tarragonshed/dialer"
)

const (
	// maxStreams is the number of concurrent streams on one connection.
	maxStreams  = 4096
	dialTimeout = time.Second
	// pingTimeout is how long the answer to a ping may take.
	pingTimeout = 500 * time.Millisecond
	// A window is the number of bytes that may be sent before the receiver has
	// read them.
	streamWindow     = 256 << 10
	connectionWindow = 8 << 20
)

// NewTransport returns a transport that opens one connection to each daemon with dial, and
// sends a ping on a connection without data for pingAfter. It uses TLS if config isn't nil.
func NewTransport(dial dialer.Func, config *tls.Config, pingAfter time.Duration) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(config != nil)
	protocols.SetUnencryptedHTTP2(config == nil)
	return &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: config,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, stop := context.WithTimeout(ctx, dialTimeout)
			defer stop()
			return dial(ctx, network, address)
		},
		HTTP2: newConfig(pingAfter),
	}
}

// Configure sets the protocols and the HTTP/2 limits of a server for other daemons, and how
// long a connection is without data before it is sent a ping.
func Configure(server *http.Server, pingAfter time.Duration) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Protocols = protocols
	server.HTTP2 = newConfig(pingAfter)
	server.HTTP2.MaxConcurrentStreams = maxStreams
}

func newConfig(pingAfter time.Duration) *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
		MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
	}
}

package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"

	"tarragonshed.example/tarragonshed/certifier"
	"tarragonshed.example/tarragonshed/dialer"
	"tarragonshed.example/tarragonshed/entry"
	"tarragonshed.example/tarragonshed/settings"
	"tarragonshed.example/unit"
)

// newCertifier loads the certificates of one TLS section of the settings. It returns
// nil if the section has no certificate.
func (d *Daemon) newCertifier(s settings.TLS) (*certifier.Certifier, error) {
	if !s.Enabled() {
		return nil, nil
	}
	c, err := certifier.New(
		certifier.Files{Certificate: s.Certificate, Key: s.Key, Authorities: s.Authorities},
		certifier.WithLogger(d.logger),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d.certifiers = append(d.certifiers, c)
	return c, nil
}

// callerTLS returns the options of the entry for TLS connections of callers.
func (d *Daemon) callerTLS() ([]entry.Option, error) {
	c, err := d.newCertifier(d.settings.Callers.TLS)
	if c == nil || err != nil {
		return nil, err
	}
	return []entry.Option{entry.WithTLS(c.CallerServer(), d.settings.Callers.RequireTLS)}, nil
}

// operatorTLS wraps the listener of the operator API in TLS. If authorities are
// configured, clients must present a certificate signed by one of them.
func (d *Daemon) operatorTLS(listener net.Listener) (net.Listener, error) {
	c, err := d.newCertifier(d.settings.Operator.TLS)
	if c == nil || err != nil {
		return listener, err
	}
	if d.settings.Operator.TLS.Authorities == "" {
		return tls.NewListener(listener, c.CallerServer()), nil
	}
	anyName := func(string) bool { return true }
	return tls.NewListener(listener, c.PeerServer(anyName)), nil
}

// peerTLS wraps the listener for other daemons in TLS and sets the dialers for
// connections to them.
func (d *Daemon) peerTLS(listener net.Listener) (net.Listener, error) {
	d.dialStreams, d.dialGossip = d.dial, d.dial
	c, err := d.newCertifier(d.settings.Peers.TLS)
	if c == nil || err != nil {
		return listener, err
	}
	d.dialStreams = d.dialPeer(c, "h2")
	d.dialGossip = d.dialPeer(c)
	return tls.NewListener(listener, c.PeerServer(d.isDaemon)), nil
}

// isDaemon reports whether name is the id of a daemon in the member view.
func (d *Daemon) isDaemon(name string) bool {
	_, known := d.holder.Current().View.Find(unit.DaemonID(name))
	return known
}

// dialPeer returns a dialer that verifies that the certificate of the daemon at an
// address has its id as a name. If no daemon of the member view has the address, such
// as that of a seed, the certificate is verified against the authorities only.
func (d *Daemon) dialPeer(c *certifier.Certifier, protocols ...string) dialer.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := d.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := c.PeerClient(d.daemonIDAt(address))
		config.NextProtos = protocols
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

// daemonIDAt returns the id of the daemon with a peer address, or an empty string if
// the member view has none.
func (d *Daemon) daemonIDAt(address string) string {
	for _, m := range d.holder.Current().View.Daemons {
		if m.PeerAddress == address {
			return string(m.ID)
		}
	}
	return ""
}

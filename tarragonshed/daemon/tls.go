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

// certify loads the certificates of one section of the settings. Without any it
// returns nil.
func (d *Daemon) certify(s settings.TLS) (*certifier.Certifier, error) {
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

// callerTLS returns the entry's options for callers over TLS.
func (d *Daemon) callerTLS() ([]entry.Option, error) {
	c, err := d.certify(d.settings.Callers.TLS)
	if c == nil || err != nil {
		return nil, err
	}
	return []entry.Option{entry.WithTLS(c.CallerServer(), d.settings.Callers.RequireTLS)}, nil
}

// operatorTLS wraps the listener of the operator API. With authorities it asks
// for a certificate that they have signed.
func (d *Daemon) operatorTLS(listener net.Listener) (net.Listener, error) {
	c, err := d.certify(d.settings.Operator.TLS)
	if c == nil || err != nil {
		return listener, err
	}
	if d.settings.Operator.TLS.Authorities == "" {
		return tls.NewListener(listener, c.CallerServer()), nil
	}
	anyName := func(string) bool { return true }
	return tls.NewListener(listener, c.PeerServer(anyName)), nil
}

// peerTLS wraps the listener for other daemons and sets the dialers to them.
func (d *Daemon) peerTLS(listener net.Listener) (net.Listener, error) {
	d.dialLanes, d.dialGossip = d.dial, d.dial
	c, err := d.certify(d.settings.Peers.TLS)
	if c == nil || err != nil {
		return listener, err
	}
	d.dialLanes = d.dialPeer(c, "h2")
	d.dialGossip = d.dialPeer(c)
	return tls.NewListener(listener, c.PeerServer(d.isDaemon)), nil
}

// isDaemon reports whether a name is the id of a daemon in the view.
func (d *Daemon) isDaemon(name string) bool {
	_, known := d.holder.Current().View.Find(unit.DaemonID(name))
	return known
}

// dialPeer returns a dialer that checks the certificate of the daemon at the
// address against its id. An address that no daemon of the view has, such as a
// seed's, is checked against the authorities only.
func (d *Daemon) dialPeer(c *certifier.Certifier, protocols ...string) dialer.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := d.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := c.PeerClient(d.nameAt(address))
		config.NextProtos = protocols
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

// nameAt returns the id of the daemon at a peer address, or nothing.
func (d *Daemon) nameAt(address string) string {
	for _, m := range d.holder.Current().View.Daemons {
		if m.PeerAddress == address {
			return string(m.ID)
		}
	}
	return ""
}

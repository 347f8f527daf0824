// Package certifier loads certificates from files, loads them again when the
// files change, and makes the TLS configurations of a daemon from them.
//
// # Reloading
//
// The files are looked at in an interval, and by [Certifier.Reload]. New
// connections use what was loaded last; open ones go on. Files that can't be
// loaded are reported and what was loaded before stays in use, so that a half
// written file does no harm.
//
// # Peers
//
// Daemons show certificates to each other in both directions. The one that
// connects asks for the name of the daemon that it means to reach; the one that
// is connected to accepts the names that its check accepts. A name is a DNS name
// of the certificate.
//
// # Usage
//
//	c, err := certifier.New(certifier.Files{
//		Certificate: "daemon.crt",
//		Key:         "daemon.key",
//		Authorities: "authorities.crt",
//	})
//	if err != nil {
//		return err
//	}
//	defer c.Close()
//	entry.New(listener, holder, carrier, entry.WithTLS(c.Callers(), true))
//	peers := tls.NewListener(listener, c.PeerServer(isDaemon))
//	conn := tls.Client(raw, c.PeerClient("lautoka-shed-2"))
package certifier

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
)

// DefaultPollInterval is how often the files are looked at.
const DefaultPollInterval = 10 * time.Second

// Files are paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	// Authorities are the certificates that sign those of peers. It is empty
	// where no peer is checked.
	Authorities string
}

// loaded is what was read from the files at one time.
type loaded struct {
	contents    [3][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Certifier holds the certificates of one set of files. It is safe for
// concurrent use.
type Certifier struct {
	files    Files
	interval time.Duration
	logger   *log.Logger
	current  atomic.Pointer[loaded]
	reload   sync.Mutex
	stop     chan struct{}
	stopped  sync.WaitGroup
	closing  sync.Once
}

// Option changes a Certifier under construction.
type Option func(*Certifier)

// WithPollInterval sets how often the files are looked at.
func WithPollInterval(interval time.Duration) Option {
	return func(c *Certifier) { c.interval = interval }
}

// WithLogger sets the logger of reloads.
func WithLogger(logger *log.Logger) Option {
	return func(c *Certifier) { c.logger = logger }
}

// New loads the files and begins to look for changes.
func New(files Files, options ...Option) (*Certifier, error) {
	c := &Certifier{files: files, interval: DefaultPollInterval, stop: make(chan struct{})}
	for _, option := range options {
		option(c)
	}
	if _, err := c.Reload(); err != nil {
		return nil, trace.Wrap(err)
	}
	c.stopped.Go(c.poll)
	return c, nil
}

// Close ends the looking for changes.
func (c *Certifier) Close() {
	c.closing.Do(func() { close(c.stop) })
	c.stopped.Wait()
}

// Reload loads the files if their contents have changed, and reports whether
// they had.
func (c *Certifier) Reload() (bool, error) {
	c.reload.Lock()
	defer c.reload.Unlock()
	contents, err := c.files.read()
	if err != nil {
		return false, trace.Wrap(err)
	}
	if current := c.current.Load(); current != nil && current.same(contents) {
		return false, nil
	}
	next, err := parse(c.files, contents)
	if err != nil {
		return false, trace.Wrap(err)
	}
	c.current.Store(next)
	return true, nil
}

// Expires returns when the certificate expires.
func (c *Certifier) Expires() time.Time {
	return c.current.Load().certificate.Leaf.NotAfter
}

// CallerServer returns the configuration for the callers' side, where only the daemon
// shows a certificate.
func (c *Certifier) CallerServer() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.serverCertificate}
}

// PeerServer returns the configuration for daemons that connect to this one.
// Their certificates must have a name that accept accepts.
func (c *Certifier) PeerServer(accept func(name string) bool) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{"h2"},
		GetCertificate: c.serverCertificate,
		ClientAuth:     tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := c.verify(state, "", x509.ExtKeyUsageClientAuth); err != nil {
				return err
			}
			for _, name := range state.PeerCertificates[0].DNSNames {
				if accept(name) {
					return nil
				}
			}
			return trace.AccessDenied("certifier: none of the peer's names %q is accepted", state.PeerCertificates[0].DNSNames)
		},
	}
}

// PeerClient returns the configuration for a connection to the daemon of the
// name.
func (c *Certifier) PeerClient(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
		// VerifyConnection verifies instead, by the authorities loaded last.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, name, x509.ExtKeyUsageServerAuth)
		},
	}
}

func (c *Certifier) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &c.current.Load().certificate, nil
}

// verify verifies the chain of the peer's certificate and, if name is not empty,
// the name.
func (c *Certifier) verify(state tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	authorities := c.current.Load().authorities
	if authorities == nil {
		return trace.BadParameter("certifier: no authorities are set for peers")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return trace.Wrap(err, "certifier: ")
}

func (c *Certifier) poll() {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.stop:
			return
		}
		changed, err := c.Reload()
		if c.logger == nil {
			continue
		}
		if err != nil {
			c.logger.Error("certificates could not be loaded again; the former ones stay in use", "err", err)
		} else if changed {
			c.logger.Info("certificates loaded again", "expires", c.Expires())
		}
	}
}

func (f Files) read() (contents [3][]byte, err error) {
	for i, path := range []string{f.Certificate, f.Key, f.Authorities} {
		if path == "" && i == 2 {
			continue
		}
		if contents[i], err = os.ReadFile(path); err != nil {
			return contents, trace.ConvertSystemError(err)
		}
	}
	return contents, nil
}

func (l *loaded) same(contents [3][]byte) bool {
	for i := range contents {
		if !bytes.Equal(l.contents[i], contents[i]) {
			return false
		}
	}
	return true
}

func parse(files Files, contents [3][]byte) (*loaded, error) {
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, trace.Wrap(err, "certifier: %s and %s: ", files.Certificate, files.Key)
	}
	next := &loaded{contents: contents, certificate: certificate}
	if files.Authorities == "" {
		return next, nil
	}
	next.authorities = x509.NewCertPool()
	if !next.authorities.AppendCertsFromPEM(contents[2]) {
		return nil, trace.BadParameter("certifier: %s holds no certificate", files.Authorities)
	}
	return next, nil
}

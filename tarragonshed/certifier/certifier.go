// Package certifier loads certificates from files, reloads them when the files
// change, and builds the TLS configurations of a daemon from them.
//
// # Reloading
//
// The files are polled at an interval, and read by [Certifier.Reload]. New
// connections use the certificates loaded last; open connections keep theirs.
// Files that can't be loaded are logged and the previous certificates stay in
// use, so that a partially written file causes no outage.
//
// # Peers
//
// Connections between daemons use mutual TLS. The connecting daemon requires the
// certificate to have the name of the daemon that it dials. The accepting daemon
// requires a name that its accept function accepts. Names are the DNS names of a
// certificate.
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
//	entry.New(listener, holder, carrier, entry.WithTLS(c.CallerServer(), true))
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

// DefaultPollInterval is the interval at which the files are polled for changes.
const DefaultPollInterval = 10 * time.Second

// Files are paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	// Authorities holds the CA certificates that peers' certificates are verified
	// against. It may be empty if no peer certificates are verified.
	Authorities string
}

// snapshot holds the contents of the files and the certificates parsed from them.
type snapshot struct {
	contents    [3][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Certifier holds the certificates of one set of files. It is safe for
// concurrent use.
type Certifier struct {
	files     Files
	interval  time.Duration
	logger    *log.Logger
	current   atomic.Pointer[snapshot]
	reloadMu  sync.Mutex
	stop      chan struct{}
	stopped   sync.WaitGroup
	closeOnce sync.Once
}

// Option changes a Certifier under construction.
type Option func(*Certifier)

// WithPollInterval sets the interval at which the files are polled for changes.
func WithPollInterval(interval time.Duration) Option {
	return func(c *Certifier) { c.interval = interval }
}

// WithLogger sets the logger for reloads and failed reloads. Without it, nothing is logged.
func WithLogger(logger *log.Logger) Option {
	return func(c *Certifier) { c.logger = logger }
}

// New loads the files and starts polling them for changes. It fails if the files
// can't be loaded.
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

// Close stops the polling and waits for it to end.
func (c *Certifier) Close() {
	c.closeOnce.Do(func() { close(c.stop) })
	c.stopped.Wait()
}

// Reload loads the files if their contents have changed, and reports whether
// they have. On an error the previous certificates stay in use.
func (c *Certifier) Reload() (bool, error) {
	c.reloadMu.Lock()
	defer c.reloadMu.Unlock()
	contents, err := c.files.read()
	if err != nil {
		return false, trace.Wrap(err)
	}
	if current := c.current.Load(); current != nil && current.hasContents(contents) {
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

// CallerServer returns the server configuration for connections on which only the
// daemon presents a certificate, such as those of callers.
func (c *Certifier) CallerServer() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.serverCertificate}
}

// PeerServer returns the server configuration for connections from other daemons.
// Their certificates must be signed by an authority and have a name for which
// accept returns true.
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

// PeerClient returns the client configuration for a connection to the daemon
// called name. If name is empty, the certificate is verified against the
// authorities only.
func (c *Certifier) PeerClient(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
		// VerifyConnection replaces the standard verification, so that the
		// authorities loaded last are used.
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
// that the certificate has the name.
func (c *Certifier) verify(state tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	authorities := c.current.Load().authorities
	if authorities == nil {
		return trace.BadParameter("certifier: no authorities are configured for peer certificates")
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
			c.logger.Error("reloading certificates failed; the previous ones stay in use", "err", err)
		} else if changed {
			c.logger.Info("certificates reloaded", "expires", c.Expires())
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

func (s *snapshot) hasContents(contents [3][]byte) bool {
	for i := range contents {
		if !bytes.Equal(s.contents[i], contents[i]) {
			return false
		}
	}
	return true
}

func parse(files Files, contents [3][]byte) (*snapshot, error) {
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, trace.Wrap(err, "certifier: %s and %s: ", files.Certificate, files.Key)
	}
	next := &snapshot{contents: contents, certificate: certificate}
	if files.Authorities == "" {
		return next, nil
	}
	next.authorities = x509.NewCertPool()
	if !next.authorities.AppendCertsFromPEM(contents[2]) {
		return nil, trace.BadParameter("certifier: %s contains no valid PEM certificate", files.Authorities)
	}
	return next, nil
}

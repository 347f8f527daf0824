package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs certificates for tests.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate, _ = x509.ParseCertificate(der)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// issue writes the certificate files of a daemon called name to dir.
func (a *authority) issue(dir, name string, serial int64) Files {
	a.t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	encoded, _ := x509.MarshalECPrivateKey(key)
	files := Files{filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"), filepath.Join(dir, name+".ca")}
	write(a.t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(a.t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}))
	write(a.t, files.Authorities, a.pem)
	return files
}

func write(t *testing.T, path string, contents []byte) {
	t.Helper()
	if err := os.WriteFile(path, contents, 0o600); err != nil {
		t.Fatal(err)
	}
}

func load(t *testing.T, files Files) *Certifier {
	t.Helper()
	c, err := New(files, WithPollInterval(time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// handshakeResult holds the errors of both sides of a handshake and the serial
// number of the server's certificate.
type handshakeResult struct {
	server, client error
	serial         int64
}

func handshake(t *testing.T, server, client *tls.Config) (result handshakeResult) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		done <- exchangeByte(tls.Server(conn, server))
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	conn := tls.Client(raw, client)
	if result.client = exchangeByte(conn); result.client == nil {
		result.serial = conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	raw.Close()
	result.server = <-done
	return result
}

// exchangeByte sends a byte and reads one, so that both sides have verified each
// other's certificate when it succeeds.
func exchangeByte(conn *tls.Conn) error {
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

const testTimeout = 20 * time.Second

func TestPeers(t *testing.T) {
	dir := t.TempDir()
	ca := newAuthority(t)
	a, b := load(t, ca.issue(dir, "a", 2)), load(t, ca.issue(dir, "b", 3))
	untrusted := load(t, newAuthority(t).issue(t.TempDir(), "b", 4))
	accept := func(name string) bool { return name == "b" }
	t.Run("accepted names", func(t *testing.T) {
		is := is.New(t)
		is.Equal(handshake(t, a.PeerServer(accept), b.PeerClient("a")), handshakeResult{serial: 2})
	})
	t.Run("a server with another name than the one dialed", func(t *testing.T) {
		is := is.New(t)
		is.True(handshake(t, a.PeerServer(accept), b.PeerClient("c")).client != nil)
	})
	t.Run("a client name that is not accepted", func(t *testing.T) {
		is := is.New(t)
		is.True(handshake(t, b.PeerServer(accept), a.PeerClient("b")).server != nil)
	})
	t.Run("another authority", func(t *testing.T) {
		is := is.New(t)
		is.True(handshake(t, a.PeerServer(accept), untrusted.PeerClient("a")).server != nil)
		is.True(handshake(t, untrusted.PeerServer(accept), b.PeerClient("b")).client != nil)
	})
	t.Run("no certificate", func(t *testing.T) {
		is := is.New(t)
		is.True(handshake(t, a.PeerServer(accept), &tls.Config{InsecureSkipVerify: true}).server != nil)
	})
}

func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := newAuthority(t)
	files := ca.issue(dir, "a", 2)
	c := load(t, files)
	config, client := c.CallerServer(), &tls.Config{InsecureSkipVerify: true}
	is.Equal(handshake(t, config, client).serial, int64(2))

	write(t, files.Certificate, []byte("half a file"))
	_, err := c.Reload()
	is.True(err != nil)
	is.Equal(handshake(t, config, client).serial, int64(2)) // The previous certificate stays in use.

	ca.issue(dir, "a", 3)
	serial := int64(2)
	for end := time.Now().Add(testTimeout); serial != 3 && time.Now().Before(end); {
		serial = handshake(t, config, client).serial
	}
	is.Equal(serial, int64(3))
	_, err = New(Files{Certificate: files.Certificate, Key: "missing"})
	is.True(err != nil)
}

package deployer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"tarragonshed.example/tarragonshed/settings"
)

// certificateLifetime is the period of validity of the certificates of an [Authority].
const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority for the daemons of a deployment. It keeps the
// certificates as PEM files in a folder.
type Authority struct {
	Folder string

	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// NewAuthority returns a new authority and writes its certificate to authority.pem in
// the folder.
func NewAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "tarragonshed stand-in authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &Authority{Folder: folder, key: key, certificate: certificate}
	return a, writePEM(a.path("authority"), "CERTIFICATE", der)
}

// Issue writes a certificate and a key for a name and returns the settings that use
// them.
func (a *Authority) Issue(name string) (settings.TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings.TLS{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return settings.TLS{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return settings.TLS{}, err
	}
	if err := writePEM(a.path(name), "CERTIFICATE", der); err != nil {
		return settings.TLS{}, err
	}
	if err := writePEM(a.path(name+"-key"), "PRIVATE KEY", keyDER); err != nil {
		return settings.TLS{}, err
	}
	return settings.TLS{Certificate: a.path(name), Key: a.path(name + "-key"), Authorities: a.path("authority")}, nil
}

func (a *Authority) path(name string) string {
	return filepath.Join(a.Folder, name+".pem")
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

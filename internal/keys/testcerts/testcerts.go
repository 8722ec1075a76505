// Package testcerts creates a certificate authority and node certificates for
// benchmarks and tests. Nodes in production do not use it: the keys are not
// protected and the authority exists only as long as the process.
package testcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/settings"
)

const (
	// Validity is how long a certificate is valid unless its Request sets NotAfter.
	Validity = 24 * time.Hour
	// clockTolerance is how far in the past the validity begins, as the clocks of
	// machines differ.
	clockTolerance = time.Hour
	serialBits     = 120
	fileMode       = 0o600
)

// Authority issues certificates. It is safe for concurrent use.
type Authority struct {
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	certificatePEM []byte
}

// Request describes the certificate to issue. Zero fields get the values of a
// valid node certificate.
type Request struct {
	Name     string
	NotAfter time.Time
	Usages   []x509.ExtKeyUsage
}

// Pair is a certificate and its private key, PEM encoded.
type Pair struct {
	Certificate, Key []byte
}

// NewAuthority creates an authority with a new ECDSA P-256 key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "create the authority's key")
	}
	template, err := newTemplate("throwaway authority", time.Now().Add(Validity))
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "create the authority's certificate")
	}
	return &Authority{certificate: certificate, key: key, certificatePEM: encodePEM("CERTIFICATE", der)}, nil
}

// Certificate returns the authority's certificate, PEM encoded.
func (a *Authority) Certificate() []byte { return a.certificatePEM }

// Issue creates a certificate with a new ECDSA P-256 key.
func (a *Authority) Issue(request Request) (Pair, error) {
	if request.NotAfter.IsZero() {
		request.NotAfter = time.Now().Add(Validity)
	}
	if request.Usages == nil {
		request.Usages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "create the node's key")
	}
	template, err := newTemplate(request.Name, request.NotAfter)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = request.Usages
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "create the node's certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "create the node's key")
	}
	return Pair{Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", keyDER)}, nil
}

// WriteNode issues a node certificate and writes it, its key and the authority's
// certificate to the directory. It returns the settings that name the files.
func (a *Authority) WriteNode(directory, name string) (settings.TLS, error) {
	pair, err := a.Issue(Request{Name: name})
	if err != nil {
		return settings.TLS{}, err
	}
	files := settings.TLS{
		CertificateFile: filepath.Join(directory, name+".crt"),
		KeyFile:         filepath.Join(directory, name+".key"),
		AuthorityFile:   filepath.Join(directory, "authority.crt"),
	}
	return files, Write(files, pair, a)
}

// Write writes the pair and the authority's certificate to the files.
func Write(files settings.TLS, pair Pair, authority *Authority) error {
	contents := map[string][]byte{
		files.CertificateFile: pair.Certificate,
		files.KeyFile:         pair.Key,
		files.AuthorityFile:   authority.Certificate(),
	}
	for path, content := range contents {
		if err := os.WriteFile(path, content, fileMode); err != nil {
			return eris.Wrap(err, "write the key files")
		}
	}
	return nil
}

func newTemplate(name string, notAfter time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "create the serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    earlier(time.Now(), notAfter).Add(-clockTolerance),
		NotAfter:     notAfter,
	}, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

package keys

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// requiredUsages are what a node's certificate must state: nodes both take and
// open connections.
var requiredUsages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}

// encoded is the PEM text of a set of keys.
type encoded struct {
	certificate, key, authority string
}

// material is a checked set of keys.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// parse decodes the keys and checks that peers would accept the certificate.
func (e encoded) parse(now time.Time) (*material, error) {
	certificate, err := tls.X509KeyPair([]byte(e.certificate), []byte(e.key))
	if err != nil {
		return nil, eris.Wrap(err, "tls: certificate and key")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM([]byte(e.authority)) {
		return nil, eris.New("tls: the authority file holds no certificate in PEM form")
	}
	loaded := &material{certificate: certificate, authority: authority}
	chain, err := parseChain(certificate.Certificate)
	if err != nil {
		return nil, err
	}
	if err := loaded.verify(chain, now); err != nil {
		return nil, eris.Wrap(err, "tls: own certificate")
	}
	return loaded, nil
}

func parseChain(encodedChain [][]byte) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, 0, len(encodedChain))
	for _, der := range encodedChain {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, eris.Wrap(err, "tls: certificate")
		}
		chain = append(chain, certificate)
	}
	return chain, nil
}

// verify checks a chain, leaf first: signed by the authority, valid now, and
// issued to a node.
func (m *material) verify(chain []*x509.Certificate, now time.Time) error {
	if len(chain) == 0 {
		return eris.New("the peer shows no certificate")
	}
	leaf := chain[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	for _, usage := range requiredUsages {
		if !slices.Contains(leaf.ExtKeyUsage, usage) {
			return eris.New("the certificate is not for both server and client authentication")
		}
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:         m.authority,
			Intermediates: intermediates,
			CurrentTime:   now,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return eris.Wrap(err, "the certificate is not accepted")
		}
	}
	return nil
}

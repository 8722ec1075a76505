package keys

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// requiredUsages are the extended key usages that a node's certificate must have:
// nodes both accept and open connections.
var requiredUsages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}

// pemTexts holds a certificate, its key and the authority as PEM texts.
type pemTexts struct {
	certificate, key, authority string
}

// material holds a verified certificate with its key, and the authority.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// parse decodes the PEM texts and checks that peers would accept the certificate.
func (p pemTexts) parse(now time.Time) (*material, error) {
	certificate, err := tls.X509KeyPair([]byte(p.certificate), []byte(p.key))
	if err != nil {
		return nil, eris.Wrap(err, "tls: certificate and key")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM([]byte(p.authority)) {
		return nil, eris.New("tls: the authority file contains no PEM certificate")
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

func parseChain(derChain [][]byte) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, 0, len(derChain))
	for _, der := range derChain {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, eris.Wrap(err, "tls: certificate")
		}
		chain = append(chain, certificate)
	}
	return chain, nil
}

// verify checks a chain, leaf first: it must be signed by the authority, be valid
// now, and have the usages of a node.
func (m *material) verify(chain []*x509.Certificate, now time.Time) error {
	if len(chain) == 0 {
		return eris.New("the peer presented no certificate")
	}
	leaf := chain[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	for _, usage := range requiredUsages {
		if !slices.Contains(leaf.ExtKeyUsage, usage) {
			return eris.New("the certificate does not allow both server and client authentication")
		}
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:         m.authority,
			Intermediates: intermediates,
			CurrentTime:   now,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return eris.Wrap(err, "verify the certificate")
		}
	}
	return nil
}

// Package keys manages the TLS keys of connections between nodes. It loads them
// from the files named in the settings, builds TLS configurations from them,
// verifies the certificates of peers, and reloads the files when they are replaced.
//
// Connections use mutual TLS 1.3 and trust only the configured authority. Host
// names are not verified, because addresses are reused by other nodes: a peer is
// accepted by its certificate's chain, validity and usage. A connection is
// verified once, during its handshake.
package keys

import (
	"context"
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/settings"
)

// ReloadInterval is the time between two checks of the files.
const ReloadInterval = 10 * time.Second

// Keys holds the certificate, the private key and the authority in use. It is
// safe for concurrent use, except for Reload. A nil *Keys stands for connections
// without TLS: its configurations are nil.
type Keys struct {
	files    settings.TLS
	lastRead pemTexts // content of the files when they were last read, valid or not
	current  atomic.Pointer[material]
}

// Load reads and checks the keys. It returns nil Keys and no error when no file
// is set, and an error when some files are missing or unreadable, when the
// certificate and the key do not match, or when peers would reject the certificate.
func Load(files settings.TLS) (*Keys, error) {
	if files == (settings.TLS{}) {
		return nil, nil
	}
	if files.CertificateFile == "" || files.KeyFile == "" || files.AuthorityFile == "" {
		return nil, eris.New("tls: set certificate_file, key_file and authority_file, or none of them")
	}
	k := &Keys{files: files}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// FromPEM returns keys that are not read from files, for simulated nodes.
func FromPEM(certificate, key, authority []byte) (*Keys, error) {
	loaded, err := pemTexts{string(certificate), string(key), string(authority)}.parse(time.Now())
	if err != nil {
		return nil, err
	}
	k := &Keys{}
	k.current.Store(loaded)
	return k, nil
}

// Reload reads the files again and reports whether new keys are in use. On an
// error the old keys stay in use. Content that was rejected is not checked again
// until the files change. Reload must not be called concurrently.
func (k *Keys) Reload() (bool, error) {
	found, err := readFiles(k.files)
	if err != nil {
		return false, err
	}
	if found == k.lastRead {
		return false, nil
	}
	k.lastRead = found
	loaded, err := found.parse(time.Now())
	if err != nil {
		return false, err
	}
	k.current.Store(loaded)
	return true, nil
}

// Run reloads the keys when the files are replaced, until the context ends.
// Existing connections keep the keys of their handshake.
func (k *Keys) Run(ctx context.Context, logger logrus.FieldLogger) {
	if k == nil || k.files == (settings.TLS{}) {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.reloadAndLog(logger)
		}
	}
}

func (k *Keys) reloadAndLog(logger logrus.FieldLogger) {
	changed, err := k.Reload()
	switch {
	case err != nil:
		logger.WithError(err).Error("cannot load the new TLS keys, keeping the current ones")
	case changed:
		logger.WithField("expires", k.Expires()).Info("new TLS keys in use")
	}
}

// Expires returns when the node's own certificate expires; zero for nil Keys.
func (k *Keys) Expires() time.Time {
	if k == nil {
		return time.Time{}
	}
	return k.current.Load().certificate.Leaf.NotAfter
}

// ServerConfig returns the configuration for accepting connections of other nodes,
// or nil without TLS. Each handshake uses the keys in use at that moment.
func (k *Keys) ServerConfig() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         k.serverCertificate,
		ClientAuth:             tls.RequireAnyClientCert, // verified by VerifyConnection
		VerifyConnection:       k.verifyPeer,
		SessionTicketsDisabled: true, // every handshake presents the certificate
	}
}

// ClientConfig returns the configuration for opening connections to other nodes,
// or nil without TLS. Each handshake uses the keys in use at that moment.
func (k *Keys) ClientConfig() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: k.clientCertificate,
		InsecureSkipVerify:   true, // host names are not verified; VerifyConnection verifies the rest
		VerifyConnection:     k.verifyPeer,
	}
}

// NodeConfig returns one configuration for accepting and for opening connections,
// or nil without TLS.
func (k *Keys) NodeConfig() *tls.Config {
	if k == nil {
		return nil
	}
	config := k.ServerConfig()
	client := k.ClientConfig()
	config.GetClientCertificate = client.GetClientCertificate
	config.InsecureSkipVerify = client.InsecureSkipVerify
	return config
}

func (k *Keys) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &k.current.Load().certificate, nil
}

func (k *Keys) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return &k.current.Load().certificate, nil
}

func (k *Keys) verifyPeer(state tls.ConnectionState) error {
	return k.current.Load().verify(state.PeerCertificates, time.Now())
}

func readFiles(files settings.TLS) (pemTexts, error) {
	certificate, err := os.ReadFile(files.CertificateFile)
	if err != nil {
		return pemTexts{}, eris.Wrap(err, "tls: certificate_file")
	}
	key, err := os.ReadFile(files.KeyFile)
	if err != nil {
		return pemTexts{}, eris.Wrap(err, "tls: key_file")
	}
	authority, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return pemTexts{}, eris.Wrap(err, "tls: authority_file")
	}
	return pemTexts{string(certificate), string(key), string(authority)}, nil
}

// Package keys owns the TLS keys of connections between nodes: loading them from
// the files named in the settings, the TLS configurations built from them, the
// check of a peer's certificate and the reload when the files are replaced.
//
// Nodes authenticate each other: TLS 1.3 only, the own authority only. Addresses
// change hands, so a peer is known by its certificate's chain, validity and
// usage, and not by a host name. A connection is checked once, when it begins.
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

// ReloadInterval is the time between two looks at the files.
const ReloadInterval = 10 * time.Second

// Keys hold the certificate, the private key and the authority in use. They are
// safe for concurrent use. A nil *Keys stands for plain connections: its
// configurations are nil.
type Keys struct {
	files   settings.TLS
	read    encoded // what the files held when they were last read, good or not
	current atomic.Pointer[material]
}

// Load reads and checks the keys. It returns nil Keys and no error when no file
// is set, and an error when some are missing, unreadable, do not belong together
// or would be refused by peers.
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

// FromPEM returns keys held in memory only, for simulated nodes.
func FromPEM(certificate, key, authority []byte) (*Keys, error) {
	loaded, err := encoded{string(certificate), string(key), string(authority)}.parse(time.Now())
	if err != nil {
		return nil, err
	}
	k := &Keys{}
	k.current.Store(loaded)
	return k, nil
}

// Reload reads the files again and reports whether new keys are in use. On an
// error the old ones stay. Content that was refused once is not tried again. It
// must not be called by two goroutines at once.
func (k *Keys) Reload() (bool, error) {
	found, err := readFiles(k.files)
	if err != nil {
		return false, err
	}
	if found == k.read {
		return false, nil
	}
	k.read = found
	loaded, err := found.parse(time.Now())
	if err != nil {
		return false, err
	}
	k.current.Store(loaded)
	return true, nil
}

// Run reloads the keys when the files are replaced, until the context ends.
// Connections that exist keep the keys they began with.
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
		logger.WithError(err).Error("cannot use the new keys, keeping the old ones")
	case changed:
		logger.WithField("expires", k.Expires()).Info("new keys in use")
	}
}

// Expires returns when the own certificate ends; zero for nil Keys.
func (k *Keys) Expires() time.Time {
	if k == nil {
		return time.Time{}
	}
	return k.current.Load().certificate.Leaf.NotAfter
}

// ServerConfig returns the configuration for taking connections of other nodes,
// or nil for plain ones. New handshakes use the keys then in use.
func (k *Keys) ServerConfig() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         k.serverCertificate,
		ClientAuth:             tls.RequireAnyClientCert, // checked by VerifyConnection
		VerifyConnection:       k.verifyPeer,
		SessionTicketsDisabled: true, // each connection shows its certificate
	}
}

// ClientConfig returns the configuration for opening connections to other nodes,
// or nil for plain ones. New handshakes use the keys then in use.
func (k *Keys) ClientConfig() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: k.clientCertificate,
		InsecureSkipVerify:   true, // host names are not checked; VerifyConnection checks the rest
		VerifyConnection:     k.verifyPeer,
	}
}

// NodeConfig returns one configuration for both directions, or nil for plain
// connections.
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

func readFiles(files settings.TLS) (encoded, error) {
	certificate, err := os.ReadFile(files.CertificateFile)
	if err != nil {
		return encoded{}, eris.Wrap(err, "tls: certificate_file")
	}
	key, err := os.ReadFile(files.KeyFile)
	if err != nil {
		return encoded{}, eris.Wrap(err, "tls: key_file")
	}
	authority, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return encoded{}, eris.Wrap(err, "tls: authority_file")
	}
	return encoded{string(certificate), string(key), string(authority)}, nil
}

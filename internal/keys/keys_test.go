package keys_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/keys"
	"github.com/winchhead/winchhead/internal/keys/testcerts"
	"github.com/winchhead/winchhead/internal/settings"
)

// payload is what each side sends on an accepted connection.
const payload = "for nodes only"

func newAuthority(c *qt.C) *testcerts.Authority {
	authority, err := testcerts.NewAuthority()
	c.Assert(err, qt.IsNil)
	return authority
}

func newKeys(c *qt.C, authority *testcerts.Authority) *keys.Keys {
	pair, err := authority.Issue(testcerts.Request{Name: "node"})
	c.Assert(err, qt.IsNil)
	k, err := keys.FromPEM(pair.Certificate, pair.Key, authority.Certificate())
	c.Assert(err, qt.IsNil)
	return k
}

// permissiveConfig returns a configuration that presents a certificate and accepts any peer.
func permissiveConfig(c *qt.C, authority *testcerts.Authority, request testcerts.Request) *tls.Config {
	pair, err := authority.Issue(request)
	c.Assert(err, qt.IsNil)
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	c.Assert(err, qt.IsNil)
	return &tls.Config{
		Certificates:       []tls.Certificate{certificate},
		ClientAuth:         tls.RequestClientCert,
		InsecureSkipVerify: true,
	}
}

// wrapTLS adds TLS to a connection unless the configuration is nil.
func wrapTLS(connection net.Conn, config *tls.Config, role func(net.Conn, *tls.Config) *tls.Conn) net.Conn {
	if config == nil {
		return connection
	}
	return role(connection, config)
}

// exchange connects both ends over loopback TCP, sends payload both ways and
// returns what each end received.
func exchange(c *qt.C, serverConfig, clientConfig *tls.Config) (atServer, atClient string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	received := make(chan string, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			received <- err.Error()
			return
		}
		received <- sendAndReceive(wrapTLS(connection, serverConfig, tls.Server))
	}()
	connection, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	atClient = sendAndReceive(wrapTLS(connection, clientConfig, tls.Client))
	return <-received, atClient
}

// sendAndReceive sends payload, then returns what arrived of the other end's payload.
func sendAndReceive(connection net.Conn) string {
	defer connection.Close()
	_, _ = io.WriteString(connection, payload)
	received := make([]byte, len(payload))
	count, _ := io.ReadFull(connection, received)
	return string(received[:count])
}

func TestOnlyNodesExchangeData(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(c)
	otherAuthority := newAuthority(c)
	node := newKeys(c, authority)
	valid := testcerts.Request{Name: "node"}
	expired := testcerts.Request{Name: "node", NotAfter: time.Now().Add(-time.Minute)}
	serverOnly := testcerts.Request{Name: "node", Usages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	clientOnly := testcerts.Request{Name: "node", Usages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	noUsage := testcerts.Request{Name: "node", Usages: []x509.ExtKeyUsage{}}
	tls12 := permissiveConfig(c, authority, valid)
	tls12.MaxVersion = tls.VersionTLS12
	noCertificate := &tls.Config{InsecureSkipVerify: true}

	for _, test := range []struct {
		name     string
		peer     *tls.Config
		accepted bool
	}{
		{"another node", newKeys(c, authority).NodeConfig(), true},
		{"any certificate of the authority", permissiveConfig(c, authority, valid), true},
		{"certificate of another authority", permissiveConfig(c, otherAuthority, valid), false},
		{"node of another authority", newKeys(c, otherAuthority).NodeConfig(), false},
		{"expired certificate", permissiveConfig(c, authority, expired), false},
		{"server usage only", permissiveConfig(c, authority, serverOnly), false},
		{"client usage only", permissiveConfig(c, authority, clientOnly), false},
		{"no usage", permissiveConfig(c, authority, noUsage), false},
		{"TLS 1.2", tls12, false},
		{"plain connection", nil, false},
		{"no certificate", noCertificate, false},
	} {
		c.Run(test.name, func(c *qt.C) {
			want := ""
			if test.accepted {
				want = payload
			}
			// In either role, the node must neither send data to a peer that it
			// rejects nor accept data from it.
			atNode, atPeer := exchange(c, node.ServerConfig(), test.peer)
			c.Check(atNode, qt.Equals, want)
			c.Check(payloadOnly(atPeer), qt.Equals, want)
			if test.name == "no certificate" {
				return // a TLS server always has a certificate
			}
			atPeer, atNode = exchange(c, test.peer, node.ClientConfig())
			c.Check(atNode, qt.Equals, want)
			c.Check(payloadOnly(atPeer), qt.Equals, want)
		})
	}
}

// payloadOnly drops a TLS record (alert or hello) that a peer without TLS reads as data.
func payloadOnly(received string) string {
	if received == payload {
		return payload
	}
	return ""
}

func TestLoadRejects(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(c)
	valid, err := authority.WriteNode(t.TempDir(), "node")
	c.Assert(err, qt.IsNil)
	other, err := newAuthority(c).WriteNode(t.TempDir(), "node")
	c.Assert(err, qt.IsNil)
	for _, test := range []struct {
		name  string
		files settings.TLS
		want  string
	}{
		{"key file not set", settings.TLS{CertificateFile: valid.CertificateFile, AuthorityFile: valid.AuthorityFile}, ".*or none of them"},
		{"files missing", settings.TLS{CertificateFile: "absent", KeyFile: "absent", AuthorityFile: "absent"}, ".*certificate_file.*"},
		{"key of another certificate", settings.TLS{CertificateFile: valid.CertificateFile, KeyFile: other.KeyFile, AuthorityFile: valid.AuthorityFile}, ".*certificate and key.*"},
		{"authority of another certificate", settings.TLS{CertificateFile: valid.CertificateFile, KeyFile: valid.KeyFile, AuthorityFile: other.AuthorityFile}, ".*own certificate.*"},
		{"authority file without a certificate", settings.TLS{CertificateFile: valid.CertificateFile, KeyFile: valid.KeyFile, AuthorityFile: valid.KeyFile}, ".*authority file.*"},
	} {
		c.Run(test.name, func(c *qt.C) {
			_, err := keys.Load(test.files)
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestNoFilesMeanNoTLS(t *testing.T) {
	c := qt.New(t)
	k, err := keys.Load(settings.TLS{})
	c.Assert(err, qt.IsNil)
	c.Assert(k.ServerConfig(), qt.IsNil)
	c.Assert(k.ClientConfig(), qt.IsNil)
	c.Assert(k.NodeConfig(), qt.IsNil)
}

func TestNewConnectionsUseReplacedFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		oldAuthority, newAuthority := newAuthority(c), newAuthority(c)
		files, err := oldAuthority.WriteNode(t.TempDir(), "node")
		c.Assert(err, qt.IsNil)
		k, err := keys.Load(files)
		c.Assert(err, qt.IsNil)
		logger, hook := logrustest.NewNullLogger()
		ctx, cancel := context.WithCancel(context.Background())
		go k.Run(ctx, logger)
		waitForReload := func() {
			time.Sleep(keys.ReloadInterval)
			synctest.Wait()
		}

		c.Assert(os.WriteFile(files.CertificateFile, []byte("broken"), 0o600), qt.IsNil)
		waitForReload()
		waitForReload()
		c.Assert(hook.AllEntries(), qt.HasLen, 1, qt.Commentf("an invalid certificate must be logged once"))
		c.Assert(hook.LastEntry().Level, qt.Equals, logrus.ErrorLevel)
		c.Assert(accepts(c, k, oldAuthority), qt.IsTrue, qt.Commentf("the old keys must stay in use"))

		pair, err := newAuthority.Issue(testcerts.Request{Name: "node"})
		c.Assert(err, qt.IsNil)
		c.Assert(testcerts.Write(files, pair, newAuthority), qt.IsNil)
		waitForReload()
		c.Assert(accepts(c, k, newAuthority), qt.IsTrue)
		c.Assert(accepts(c, k, oldAuthority), qt.IsFalse)
		cancel()
	})
}

// accepts reports whether k and a node of the authority accept each other's certificates.
func accepts(c *qt.C, k *keys.Keys, authority *testcerts.Authority) bool {
	atServer, atClient := exchange(c, k.ServerConfig(), newKeys(c, authority).ClientConfig())
	return atServer == payload && atClient == payload
}

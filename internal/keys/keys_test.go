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
	"github.com/winchhead/winchhead/internal/keys/throwaway"
	"github.com/winchhead/winchhead/internal/settings"
)

// payload is what each side sends to a peer it accepts.
const payload = "for nodes only"

func newAuthority(c *qt.C) *throwaway.Authority {
	authority, err := throwaway.NewAuthority()
	c.Assert(err, qt.IsNil)
	return authority
}

func newKeys(c *qt.C, authority *throwaway.Authority) *keys.Keys {
	pair, err := authority.Issue(throwaway.Request{Name: "node"})
	c.Assert(err, qt.IsNil)
	k, err := keys.FromPEM(pair.Certificate, pair.Key, authority.Certificate())
	c.Assert(err, qt.IsNil)
	return k
}

// unchecked returns a configuration that shows a certificate and accepts any.
func unchecked(c *qt.C, authority *throwaway.Authority, request throwaway.Request) *tls.Config {
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

// wrap puts TLS on a connection; a nil configuration leaves it plain.
func wrap(connection net.Conn, config *tls.Config, role func(net.Conn, *tls.Config) *tls.Conn) net.Conn {
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
		received <- talk(wrap(connection, serverConfig, tls.Server))
	}()
	connection, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	atClient = talk(wrap(connection, clientConfig, tls.Client))
	return <-received, atClient
}

// talk sends payload, then returns as much as the other end sent of it.
func talk(connection net.Conn) string {
	defer connection.Close()
	_, _ = io.WriteString(connection, payload)
	received := make([]byte, len(payload))
	count, _ := io.ReadFull(connection, received)
	return string(received[:count])
}

func TestOnlyNodesGetAnything(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(c)
	stranger := newAuthority(c)
	node := newKeys(c, authority)
	good := throwaway.Request{Name: "node"}
	expired := throwaway.Request{Name: "node", NotAfter: time.Now().Add(-time.Minute)}
	serverOnly := throwaway.Request{Name: "node", Usages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	clientOnly := throwaway.Request{Name: "node", Usages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	noUsage := throwaway.Request{Name: "node", Usages: []x509.ExtKeyUsage{}}
	older := unchecked(c, authority, good)
	older.MaxVersion = tls.VersionTLS12
	nameless := &tls.Config{InsecureSkipVerify: true}

	for _, test := range []struct {
		name     string
		peer     *tls.Config
		accepted bool
	}{
		{"another node", newKeys(c, authority).NodeConfig(), true},
		{"any certificate of the authority", unchecked(c, authority, good), true},
		{"certificate of a stranger", unchecked(c, stranger, good), false},
		{"node of a stranger", newKeys(c, stranger).NodeConfig(), false},
		{"expired certificate", unchecked(c, authority, expired), false},
		{"usage server only", unchecked(c, authority, serverOnly), false},
		{"usage client only", unchecked(c, authority, clientOnly), false},
		{"no usage", unchecked(c, authority, noUsage), false},
		{"TLS 1.2", older, false},
		{"plain connection", nil, false},
		{"no certificate", nameless, false},
	} {
		c.Run(test.name, func(c *qt.C) {
			want := ""
			if test.accepted {
				want = payload
			}
			// What the node sends must not reach a stranger in either role, nor
			// may the node take what a stranger sends.
			atNode, atPeer := exchange(c, node.ServerConfig(), test.peer)
			c.Check(atNode, qt.Equals, want)
			c.Check(atPeerOf(atPeer), qt.Equals, want)
			if test.name == "no certificate" {
				return // a server cannot be without one
			}
			atPeer, atNode = exchange(c, test.peer, node.ClientConfig())
			c.Check(atNode, qt.Equals, want)
			c.Check(atPeerOf(atPeer), qt.Equals, want)
		})
	}
}

// atPeerOf drops a TLS record (alert or hello) that a plain peer reads as bytes.
func atPeerOf(received string) string {
	if received == payload {
		return payload
	}
	return ""
}

func TestLoadRefuses(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(c)
	good, err := authority.WriteNode(t.TempDir(), "node")
	c.Assert(err, qt.IsNil)
	other, err := newAuthority(c).WriteNode(t.TempDir(), "node")
	c.Assert(err, qt.IsNil)
	for _, test := range []struct {
		name  string
		files settings.TLS
		want  string
	}{
		{"no key", settings.TLS{CertificateFile: good.CertificateFile, AuthorityFile: good.AuthorityFile}, ".*or none of them"},
		{"file missing", settings.TLS{CertificateFile: "absent", KeyFile: "absent", AuthorityFile: "absent"}, ".*certificate_file.*"},
		{"key of another", settings.TLS{CertificateFile: good.CertificateFile, KeyFile: other.KeyFile, AuthorityFile: good.AuthorityFile}, ".*certificate and key.*"},
		{"authority of another", settings.TLS{CertificateFile: good.CertificateFile, KeyFile: good.KeyFile, AuthorityFile: other.AuthorityFile}, ".*own certificate.*"},
		{"authority is no certificate", settings.TLS{CertificateFile: good.CertificateFile, KeyFile: good.KeyFile, AuthorityFile: good.KeyFile}, ".*authority file.*"},
	} {
		c.Run(test.name, func(c *qt.C) {
			_, err := keys.Load(test.files)
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestNoFilesMeanPlainConnections(t *testing.T) {
	c := qt.New(t)
	k, err := keys.Load(settings.TLS{})
	c.Assert(err, qt.IsNil)
	c.Assert(k.ServerConfig(), qt.IsNil)
	c.Assert(k.ClientConfig(), qt.IsNil)
	c.Assert(k.NodeConfig(), qt.IsNil)
}

func TestReplacedFilesAreUsedByNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		oldAuthority, newAuthority := newAuthority(c), newAuthority(c)
		files, err := oldAuthority.WriteNode(t.TempDir(), "node")
		c.Assert(err, qt.IsNil)
		k, err := keys.Load(files)
		c.Assert(err, qt.IsNil)
		logger, logged := logrustest.NewNullLogger()
		ctx, cancel := context.WithCancel(context.Background())
		go k.Run(ctx, logger)
		interval := func() {
			time.Sleep(keys.ReloadInterval)
			synctest.Wait()
		}

		c.Assert(os.WriteFile(files.CertificateFile, []byte("broken"), 0o600), qt.IsNil)
		interval()
		interval()
		c.Assert(logged.AllEntries(), qt.HasLen, 1, qt.Commentf("a broken pair is logged once"))
		c.Assert(logged.LastEntry().Level, qt.Equals, logrus.ErrorLevel)
		c.Assert(accepts(c, k, oldAuthority), qt.IsTrue, qt.Commentf("the old pair stays"))

		pair, err := newAuthority.Issue(throwaway.Request{Name: "node"})
		c.Assert(err, qt.IsNil)
		c.Assert(throwaway.Write(files, pair, newAuthority), qt.IsNil)
		interval()
		c.Assert(accepts(c, k, newAuthority), qt.IsTrue)
		c.Assert(accepts(c, k, oldAuthority), qt.IsFalse)
		cancel()
	})
}

// accepts reports whether k and a node of the authority accept each other.
func accepts(c *qt.C, k *keys.Keys, authority *throwaway.Authority) bool {
	atServer, atClient := exchange(c, k.ServerConfig(), newKeys(c, authority).ClientConfig())
	return atServer == payload && atClient == payload
}

package integration

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/keys/testcerts"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/settings"
)

// TestMutualTLS runs node processes with TLS keys. Changes must come into force and calls
// must be answered, while clients without a key of the fleet's authority get no answer.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	authority, err := testcerts.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	files, err := authority.WriteNode(t.TempDir(), "node")
	qt.Assert(t, err, qt.IsNil)
	running := startMeshWith(t, mesh.Options{Overrides: settings.Overrides{
		"tls.certificate_file": files.CertificateFile,
		"tls.key_file":         files.KeyFile,
		"tls.authority_file":   files.AuthorityFile,
	}})
	ctx := testContext(t)
	calling := startCallers(t, running, callTimeout)
	calling.awaitMore(ctx, t, callsBefore, nil)
	_, err = running.AwaitRevision(ctx, publishChange(t, running))
	qt.Assert(t, err, qt.IsNil)
	for name, dial := range untrustedDialers(t) {
		for _, address := range []string{running.Node(targetNode).Inbound(), running.Node(targetNode).Peers()} {
			got := sendUntrusted(t, dial, address)
			// net/http may answer that it expects TLS, but the node itself must answer nothing.
			qt.Check(t, got, qt.Not(qt.Contains), outcome.InternalPrefix, qt.Commentf("%s at %s", name, address))
		}
	}
	qt.Check(t, running.Journal()(untrustedCall).Started, qt.Equals, 0)
	calling.awaitMore(ctx, t, callsBefore, nil)
	results := calling.stop()
	assertOnly(t, results, load.Answered)
	assertGuarantees(t, running, results)
}

// untrustedCall is the id of the requests sent over untrusted connections.
const untrustedCall = "untrusted"

type dialer func(address string) (net.Conn, error)

// untrustedDialers returns ways to connect without a key of the fleet's authority.
func untrustedDialers(t testing.TB) map[string]dialer {
	other, err := testcerts.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	pair, err := other.Issue(testcerts.Request{Name: "untrusted"})
	qt.Assert(t, err, qt.IsNil)
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	qt.Assert(t, err, qt.IsNil)
	config := &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{certificate}}
	return map[string]dialer{
		"plain":                               func(address string) (net.Conn, error) { return net.Dial("tcp", address) },
		"TLS with a key of another authority": func(address string) (net.Conn, error) { return tls.Dial("tcp", address, config) },
		"TLS without a key": func(address string) (net.Conn, error) {
			return tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
		},
	}
}

// sendUntrusted sends a request and returns everything received until the node closes the
// connection.
func sendUntrusted(t testing.TB, dial dialer, address string) string {
	conn, err := dial(address)
	if err != nil {
		return "" // refused while connecting
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := testContext(t).Deadline()
	qt.Assert(t, conn.SetDeadline(deadline), qt.IsNil)
	// Both the write and the read may fail, as the node may have closed the connection.
	_, _ = fmt.Fprintf(conn, "GET /echo HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", service, backend.HeaderRequest, untrustedCall)
	got, err := io.ReadAll(conn)
	qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	return string(got)
}

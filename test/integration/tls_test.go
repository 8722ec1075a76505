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
	"github.com/winchhead/winchhead/internal/keys/throwaway"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/settings"
)

// TestMutualTLS runs node processes with keys: changes come into force and calls
// are answered, while whoever has no key of the authority gets nothing.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	authority, err := throwaway.NewAuthority()
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
	for name, dial := range strangers(t) {
		for _, address := range []string{running.Node(victim).Inbound(), running.Node(victim).Peers()} {
			got := askAsStranger(t, dial, address)
			// net/http may say that it wants TLS; the node itself says nothing.
			qt.Check(t, got, qt.Not(qt.Contains), outcome.InternalPrefix, qt.Commentf("%s at %s", name, address))
		}
	}
	qt.Check(t, running.Journal()(strangerCall).Started, qt.Equals, 0)
	calling.awaitMore(ctx, t, callsBefore, nil)
	results := calling.stop()
	assertOnly(t, results, load.Answered)
	assertKept(t, running, results)
}

// strangerCall is the number of the request that strangers send.
const strangerCall = "stranger"

type dialer func(address string) (net.Conn, error)

// strangers are ways to connect without a key of the fleet's authority.
func strangers(t testing.TB) map[string]dialer {
	other, err := throwaway.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	pair, err := other.Issue(throwaway.Request{Name: "stranger"})
	qt.Assert(t, err, qt.IsNil)
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	qt.Assert(t, err, qt.IsNil)
	secured := &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{certificate}}
	return map[string]dialer{
		"plain":                    func(address string) (net.Conn, error) { return net.Dial("tcp", address) },
		"key of another authority": func(address string) (net.Conn, error) { return tls.Dial("tcp", address, secured) },
		"secured without a key": func(address string) (net.Conn, error) {
			return tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
		},
	}
}

// askAsStranger sends a request and returns all that comes until the node ends
// the connection.
func askAsStranger(t testing.TB, dial dialer, address string) string {
	conn, err := dial(address)
	if err != nil {
		return "" // refused while connecting
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := testContext(t).Deadline()
	qt.Assert(t, conn.SetDeadline(deadline), qt.IsNil)
	// Either may fail: the node may have ended the connection.
	_, _ = fmt.Fprintf(conn, "GET /echo HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", service, backend.HeaderRequest, strangerCall)
	got, err := io.ReadAll(conn)
	qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	return string(got)
}

package distribution_test

import (
	"context"
	"crypto/tls"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/keys/testcerts"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// startClaimNode runs a node that serves claim connections with serve.
func startClaimNode(c *qt.C, config *tls.Config, serve func(*distribution.ClaimStream)) (node *distribution.Node, stop func()) {
	platform := newFakePlatform()
	node, err := distribution.NewNode(distribution.Options{
		Self: membership.Record{Node: "node", Incarnation: 1}, ListenAddress: "127.0.0.1:0",
		Configuration: platform, Members: platform, Logger: logging.Discard(), TLS: config, Timing: quickTiming(),
		Adopter: &recordingAdopter{views: make(chan *membership.View, 1)}, ServeClaims: serve,
	})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	return node, func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	}
}

func grantAll(stream *distribution.ClaimStream) {
	for {
		message, err := stream.Next()
		request, ok := message.(*wire.ClaimRequest)
		if err != nil || !ok || stream.Write(&wire.ClaimReply{Number: request.Number, Verdict: wire.ClaimGranted}) != nil {
			return
		}
	}
}

// TestClaimStreams sends two claims on one connection to a node, with keys of the same
// authority, with keys of another one, and to a node that does not serve claims.
func TestClaimStreams(t *testing.T) {
	c := qt.New(t)
	authority, err := testcerts.NewAuthority()
	c.Assert(err, qt.IsNil)
	otherAuthority, err := testcerts.NewAuthority()
	c.Assert(err, qt.IsNil)
	config := nodeKeys(c, authority).NodeConfig()
	for _, test := range []struct {
		name   string
		config *tls.Config
		serve  func(*distribution.ClaimStream)
		served bool
	}{
		{"same authority", config, grantAll, true},
		{"other authority", nodeKeys(c, otherAuthority).NodeConfig(), grantAll, false},
		{"no claims served", config, nil, false},
	} {
		c.Run(test.name, func(c *qt.C) {
			server, stopServer := startClaimNode(c, config, test.serve)
			client, stopClient := startClaimNode(c, test.config, nil)
			defer stopClient()
			defer func() { stopServer() }()
			stream, err := client.OpenClaims(c.Context(), server.Address())
			for number := uint64(1); err == nil && number <= 2; number++ {
				var reply wire.Message
				if err = stream.Write(&wire.ClaimRequest{Number: number}); err == nil {
					reply, err = stream.Next()
				}
				if err == nil {
					c.Check(reply, qt.DeepEquals, &wire.ClaimReply{Number: number, Verdict: wire.ClaimGranted})
				}
			}
			c.Check(err == nil, qt.Equals, test.served, qt.Commentf("%v", err))
			if !test.served {
				return
			}
			stopServer() // closes the stream
			_, err = stream.Next()
			c.Check(err, qt.IsNotNil)
			_ = stream.Close()
			stopServer = func() {}
		})
	}
}

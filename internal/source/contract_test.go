package source_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/winchhead/winchhead/internal/emulator/platform"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// longWait is much longer than any read of these tests takes.
const longWait = 50 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEmulator serves an emulated platform and returns it with its URL.
func startEmulator(c *qt.C, options platform.Options) (*platform.Platform, string) {
	emulator, err := platform.New(options)
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- emulator.Serve(ctx, listener) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-served, qt.IsNil)
	})
	return emulator, "http://" + listener.Addr().String()
}

func TestEmulatedPlatformKeepsTheContract(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	member := membership.ListedMember{Node: "n1", PeerAddress: "127.0.0.1:7000", Zone: "centro", State: membership.ListedLive}
	emulator, url := startEmulator(c, platform.Options{
		Content: snapshot.Content{Secrets: []snapshot.Secret{{Name: "token", Value: "hush"}}},
		Members: []membership.ListedMember{member},
	})

	reader := newClient(c, url, longTimeout)
	first, outcome := reader.Fetch(ctx, snapshot.Version{})
	c.Assert(outcome.Err, qt.IsNil)
	c.Assert(outcome.Status, qt.Equals, source.StatusFresh)
	c.Assert(first.Version(), qt.Equals, emulator.Version())
	c.Assert(first.Content().Secrets[0].Value, qt.Equals, "hush")
	_, outcome = reader.Fetch(ctx, first.Version())
	c.Assert(outcome.Status, qt.Equals, source.StatusNotModified)

	version, outcome := reader.AwaitRevision(ctx, 1, 0)
	c.Assert(outcome.Status, qt.Equals, source.StatusNotModified)
	c.Assert(version, qt.Equals, first.Version())

	type awaited struct {
		version snapshot.Version
		outcome source.Outcome
	}
	arrival := make(chan awaited, 1)
	go func() {
		version, outcome := reader.AwaitRevision(ctx, 1, longWait)
		arrival <- awaited{version, outcome}
	}()
	submitted, err := emulator.Submit(snapshot.Policy{Name: "trips", Program: "# none"})
	c.Assert(err, qt.IsNil)
	got := <-arrival
	c.Assert(got.outcome.Status, qt.Equals, source.StatusFresh)
	c.Assert(got.version, qt.Equals, submitted)

	list, outcome := reader.Members(ctx, "", longWait)
	c.Assert(outcome.Status, qt.Equals, source.StatusFresh)
	c.Assert(list.Members, qt.DeepEquals, []membership.ListedMember{member})
	c.Assert(list.Revision > 0, qt.IsTrue)
	_, outcome = reader.Members(ctx, list.ETag, 0)
	c.Assert(outcome.Status, qt.Equals, source.StatusNotModified)
}

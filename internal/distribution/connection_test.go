package distribution

import (
	"bufio"
	"crypto/rand"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// newTestConnection returns a connection and a reader of what its peer receives.
func newTestConnection(c *qt.C) (*connection, *bufio.Reader) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = dialled.Close() })
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = accepted.Close() })
	sender := newConnection(dialled, nil, true, &counters{})
	ended := make(chan struct{})
	written := make(chan struct{})
	go func() {
		sender.writeQueued(ended)
		close(written)
	}()
	c.Cleanup(func() {
		close(ended)
		<-written
	})
	return sender, bufio.NewReader(accepted)
}

// TestUrgentFramesOvertakeLargeFrame: small urgent frames are written between the parts of a large
// frame, so that a change of an instance does not wait behind a configuration.
func TestUrgentFramesOvertakeLargeFrame(t *testing.T) {
	const largeBytes = maxQueuedBytes * 9 / 10
	c := qt.New(t)
	sender, received := newTestConnection(c)
	sender.acceptsParts.Store(true)
	random := make([]byte, largeBytes)
	_, err := rand.Read(random)
	c.Assert(err, qt.IsNil)
	large := &wire.Update{Target: snapshot.Version{Revision: 7}, Changed: []snapshot.Resource{{Key: snapshot.Key{Kind: 1, Name: "a"}, Body: random}}}
	small := &wire.FleetChanges{Changes: []wire.FleetChange{{Revision: 8, Resource: snapshot.Resource{Key: snapshot.Key{Kind: 5, Name: "i"}}}}}
	c.Assert(sender.enqueue(large.Type(), encoded(c, large)), qt.IsNil)
	_, err = received.Peek(1) // the large frame is being written from now on
	c.Assert(err, qt.IsNil)
	behind := &wire.Announce{Version: wire.ShortVersion{Revision: 7}}
	for _, message := range []wire.Message{behind, small} {
		c.Assert(sender.enqueue(message.Type(), encoded(c, message)), qt.IsNil)
	}
	reader := wire.NewReader(received, wire.Limits{})
	var types []wire.Type
	for range 3 {
		message, _, err := reader.Next()
		c.Assert(err, qt.IsNil)
		types = append(types, message.Type())
		if update, ok := message.(*wire.Update); ok {
			c.Check(update, qt.DeepEquals, large)
		}
	}
	c.Check(types, qt.DeepEquals, []wire.Type{wire.TypeFleetChanges, wire.TypeUpdate, wire.TypeAnnounce})
}

func encoded(c *qt.C, message wire.Message) []byte {
	frame, err := wire.Encode(message)
	c.Assert(err, qt.IsNil)
	return frame
}

// TestHelloIsSentFirst: urgent frames queued together with the Hello of a new link must not
// overtake it: the peer closes a link on which the first message is not a Hello.
func TestHelloIsSentFirst(t *testing.T) {
	c := qt.New(t)
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	sender := newConnection(ours, nil, true, &counters{})
	messages := []wire.Message{&wire.Hello{}, &wire.Announce{}, &wire.FleetChanges{}, &wire.Crashes{}, &wire.Heartbeat{}, &wire.Goodbye{}}
	for _, message := range messages {
		c.Assert(sender.enqueue(message.Type(), encoded(c, message)), qt.IsNil)
	}
	var types []wire.Type
	for range messages {
		next, found, _ := sender.dequeue()
		c.Assert(found, qt.IsTrue)
		types = append(types, next.messageType)
	}
	c.Check(types, qt.DeepEquals, []wire.Type{
		wire.TypeHello, wire.TypeFleetChanges, wire.TypeCrashes, wire.TypeHeartbeat, wire.TypeAnnounce, wire.TypeGoodbye,
	})
}

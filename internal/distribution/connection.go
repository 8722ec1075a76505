package distribution

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/socketbytes"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxQueuedBytes bounds what waits to be written on one link. A single frame
	// may be larger when nothing else waits.
	maxQueuedBytes = 1 << 20
	// writeTimeout is how long a peer may take to accept one frame, or one part of a large one.
	writeTimeout = 10 * time.Second
	// closeTimeout is how long a link that is closed on purpose may take to write
	// what is queued.
	closeTimeout = time.Second
	// sendBufferBytes is what the operating system may hold of what is written: 52 ms on a
	// link of 5 Mbit/s. What it holds can no longer be passed by small frames.
	sendBufferBytes = 32 << 10
	// greetingFrameBytes bounds the first frame of a peer that is not known yet.
	greetingFrameBytes = 4 << 10
)

// errSlow tells that a peer does not take what is sent to it.
var errSlow = errors.New("the peer does not take what is sent")

// connection carries frames over one net.Conn: one goroutine reads and one
// writes.
type connection struct {
	id       LinkID
	counters *counters
	raw      *socketbytes.Conn
	conn     net.Conn // raw, or TLS over it
	reader   *wire.Reader
	// readBefore and writtenBefore are the bytes counted so far.
	readBefore    int64
	writtenBefore int64

	// inParts says that the peer takes large frames in parts.
	inParts atomic.Bool

	mutex sync.Mutex
	// queue holds frames in their order, urgent those that go ahead of them.
	queue, urgent []queuedFrame
	queued        int
	closing       bool
	closeBy       time.Time
	wake          chan struct{}
}

type queuedFrame struct {
	messageType wire.Type
	frame       []byte
}

// IsUrgent reports whether a message goes ahead of others on its link. Changes of instances
// must not wait behind documents: with one of 60 KB each 0.3 s on links of 5 Mbit/s, the last of
// 80 nodes knew after 0.45 s, and ahead of them after 0.06 s (virtual time). Nor must the sign of
// life. None of these depends on the order in which messages arrive, but that all come after
// the greeting, which therefore goes with them.
func IsUrgent(messageType wire.Type) bool {
	return messageType == wire.TypeHello || messageType == wire.TypeFleetChanges || messageType == wire.TypeCrashes || messageType == wire.TypeHeartbeat
}

// newConnection wraps an open socket. A nil config leaves it plain.
func newConnection(socket net.Conn, config *tls.Config, client bool, counters *counters) *connection {
	if buffered, ok := socket.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = buffered.SetWriteBuffer(sendBufferBytes) // small frames wait longer where it is refused
	}
	raw := socketbytes.Wrap(socket, &socketbytes.Counter{})
	c := &connection{counters: counters, raw: raw, conn: raw, wake: make(chan struct{}, 1)}
	if config != nil && client {
		c.conn = tls.Client(raw, config)
	} else if config != nil {
		c.conn = tls.Server(raw, config)
	}
	c.reader = wire.NewReader(c.conn, wire.Limits{MaxFrameBytes: greetingFrameBytes})
	return c
}

// handshake completes TLS, if it is used.
func (c *connection) handshake(ctx context.Context) error {
	if secure, ok := c.conn.(*tls.Conn); ok {
		return secure.HandshakeContext(ctx)
	}
	return nil
}

// next reads one message and counts its bytes at the socket.
func (c *connection) next() (wire.Message, error) {
	message, _, err := c.reader.Next()
	if err != nil {
		return nil, err
	}
	read, _ := c.raw.Counter().Totals()
	c.counters.received[message.Type()].add(read - c.readBefore)
	c.readBefore = read
	return message, nil
}

// write sends one frame now.
func (c *connection) write(messageType wire.Type, frame []byte) error {
	c.counters.sent[messageType].frames.Add(1)
	return c.writePart(messageType, frame)
}

// writePart sends a frame, or a part of one, and counts its bytes.
func (c *connection) writePart(messageType wire.Type, part []byte) error {
	if err := c.raw.SetWriteDeadline(c.writeBy()); err != nil {
		return err
	}
	_, err := c.conn.Write(part)
	_, written := c.raw.Counter().Totals()
	c.counters.sent[messageType].bytes.Add(written - c.writtenBefore)
	c.writtenBefore = written
	return err
}

// writeBy is when a write that begins now must be over.
func (c *connection) writeBy() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return c.closeBy
	}
	return time.Now().Add(writeTimeout)
}

// writeMessage encodes and sends one message now.
func (c *connection) writeMessage(message wire.Message) error {
	frame, err := wire.Encode(message)
	if err != nil {
		return err
	}
	return c.write(message.Type(), frame)
}

// enqueue leaves a frame to the writing goroutine. It fails with errSlow when too
// much is waiting already.
func (c *connection) enqueue(messageType wire.Type, frame []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return nil
	}
	if c.queued > 0 && c.queued+len(frame) > maxQueuedBytes {
		return errSlow
	}
	if IsUrgent(messageType) {
		c.urgent = append(c.urgent, queuedFrame{messageType, frame})
	} else {
		c.queue = append(c.queue, queuedFrame{messageType, frame})
	}
	c.queued += len(frame)
	c.signal()
	return nil
}

func (c *connection) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// finish closes the connection once what is queued is written and the peer closed
// its side, or soon anyway.
func (c *connection) finish() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return
	}
	c.closing = true
	c.closeBy = time.Now().Add(closeTimeout)
	_ = c.raw.SetDeadline(c.closeBy)
	c.signal()
}

// closeWrite tells the peer that nothing follows. Closing at once instead could
// lose the last frame, if something of the peer's is still unread.
func (c *connection) closeWrite() {
	type writeCloser interface{ CloseWrite() error }
	if half, ok := c.raw.Conn.(writeCloser); ok {
		_ = half.CloseWrite()
		return
	}
	_ = c.raw.Close()
}

// takeUrgent returns the next frame that goes ahead of others.
func (c *connection) takeUrgent() (frame queuedFrame, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return takeFirst(&c.urgent)
}

// take returns the next frame, and whether the connection is to be closed once there is none.
func (c *connection) take() (frame queuedFrame, found, closing bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if frame, found = takeFirst(&c.urgent); !found {
		frame, found = takeFirst(&c.queue)
	}
	return frame, found, c.closing
}

func takeFirst(queue *[]queuedFrame) (frame queuedFrame, found bool) {
	if len(*queue) == 0 {
		return queuedFrame{}, false
	}
	frame = (*queue)[0]
	*queue = (*queue)[1:]
	return frame, true
}

func (c *connection) written(frame []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queued -= len(frame)
}

// writeQueued writes what is enqueued until the connection ends, which closes
// ended.
func (c *connection) writeQueued(ended <-chan struct{}) {
	defer c.raw.Close()
	for {
		next, found, closing := c.take()
		switch {
		case found:
			if c.writeInParts(next) != nil {
				return
			}
			continue
		case closing:
			c.closeWrite()
			<-ended
			return
		}
		select {
		case <-c.wake:
		case <-ended:
			return
		}
	}
}

// writeInParts writes a frame, a large one in parts, if the peer takes them, between which urgent
// frames go out.
func (c *connection) writeInParts(next queuedFrame) error {
	c.counters.sent[next.messageType].frames.Add(1)
	parts := [][]byte{next.frame}
	if c.inParts.Load() {
		parts = wire.Split(next.frame)
	}
	for i, part := range parts {
		if i > 0 {
			if err := c.writeUrgent(); err != nil {
				return err
			}
		}
		if err := c.writePart(next.messageType, part); err != nil {
			return err
		}
	}
	c.written(next.frame)
	return nil
}

func (c *connection) writeUrgent() error {
	for {
		urgent, found := c.takeUrgent()
		if !found {
			return nil
		}
		if err := c.write(urgent.messageType, urgent.frame); err != nil {
			return err
		}
		c.written(urgent.frame)
	}
}

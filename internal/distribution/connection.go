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
	// maxQueuedBytes bounds the send queue of one link. A single frame may be larger
	// if the queue is empty.
	maxQueuedBytes = 1 << 20
	// writeTimeout bounds the write of one frame, or of one part of a large frame.
	writeTimeout = 10 * time.Second
	// closeTimeout bounds the graceful close of a link, in which its queued frames are
	// written.
	closeTimeout = time.Second
	// sendBufferBytes is the size of the socket's send buffer: 52 ms on a link of
	// 5 Mbit/s. Urgent frames cannot overtake data that is already in this buffer.
	sendBufferBytes = 32 << 10
	// maxFirstFrameBytes bounds the first frame of a peer, which has not identified itself yet.
	maxFirstFrameBytes = 4 << 10
)

// errSendQueueFull reports that a peer reads more slowly than frames are sent to it.
var errSendQueueFull = errors.New("the send queue of the link is full")

// connection carries frames over one net.Conn: one goroutine reads and one
// writes.
type connection struct {
	id       LinkID
	counters *counters
	raw      *socketbytes.Conn
	conn     net.Conn // raw, or TLS over it
	reader   *wire.Reader
	// countedRead and countedWritten are the socket bytes that counters already include.
	countedRead    int64
	countedWritten int64

	// acceptsParts is set if the peer accepts large frames in parts.
	acceptsParts atomic.Bool

	mutex sync.Mutex
	// queue and urgent hold the frames to be written, each in the order of enqueueing.
	// Frames in urgent are written first.
	queue, urgent []queuedFrame
	queuedBytes   int
	closing       bool
	closeDeadline time.Time
	wake          chan struct{}
}

type queuedFrame struct {
	messageType wire.Type
	frame       []byte
}

// IsUrgent reports whether a message is sent ahead of others on its link. Changes of instances
// must not wait behind documents: on links of 5 Mbit/s with a 60 KB document every 0.3 s, a change
// sent in order would reach the last of 80 nodes after 0.45 s instead of 0.06 s. Heartbeats and reports
// of reads must not wait either. These messages do not depend on their order,
// except that all must follow Hello, which is therefore urgent too.
func IsUrgent(messageType wire.Type) bool {
	switch messageType {
	case wire.TypeHello, wire.TypeFleetChanges, wire.TypeCrashes, wire.TypeHeartbeat, wire.TypeSourceReport:
		return true
	default:
		return false
	}
}

// newConnection wraps an open socket. Without config the connection is not encrypted.
func newConnection(socket net.Conn, config *tls.Config, client bool, counters *counters) *connection {
	if buffered, ok := socket.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = buffered.SetWriteBuffer(sendBufferBytes) // on failure urgent frames only wait longer
	}
	raw := socketbytes.Wrap(socket, &socketbytes.Counter{})
	c := &connection{counters: counters, raw: raw, conn: raw, wake: make(chan struct{}, 1)}
	if config != nil && client {
		c.conn = tls.Client(raw, config)
	} else if config != nil {
		c.conn = tls.Server(raw, config)
	}
	c.reader = wire.NewReader(c.conn, wire.Limits{MaxFrameBytes: maxFirstFrameBytes})
	return c
}

// handshake performs the TLS handshake, if TLS is used.
func (c *connection) handshake(ctx context.Context) error {
	if secure, ok := c.conn.(*tls.Conn); ok {
		return secure.HandshakeContext(ctx)
	}
	return nil
}

// next reads one message and counts the bytes that it took on the socket.
func (c *connection) next() (wire.Message, error) {
	message, _, err := c.reader.Next()
	if err != nil {
		return nil, err
	}
	read, _ := c.raw.Counter().Totals()
	c.counters.received[message.Type()].add(read - c.countedRead)
	c.countedRead = read
	return message, nil
}

// write writes one frame, bypassing the queue.
func (c *connection) write(messageType wire.Type, frame []byte) error {
	c.counters.sent[messageType].frames.Add(1)
	return c.writePart(messageType, frame)
}

// writePart writes a frame, or a part of one, and counts the bytes that it took on the socket.
func (c *connection) writePart(messageType wire.Type, part []byte) error {
	if err := c.raw.SetWriteDeadline(c.writeDeadline()); err != nil {
		return err
	}
	_, err := c.conn.Write(part)
	_, written := c.raw.Counter().Totals()
	c.counters.sent[messageType].bytes.Add(written - c.countedWritten)
	c.countedWritten = written
	return err
}

// writeDeadline returns the deadline of a write that begins now.
func (c *connection) writeDeadline() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return c.closeDeadline
	}
	return time.Now().Add(writeTimeout)
}

// writeMessage encodes one message and writes it, bypassing the queue.
func (c *connection) writeMessage(message wire.Message) error {
	frame, err := wire.Encode(message)
	if err != nil {
		return err
	}
	return c.write(message.Type(), frame)
}

// enqueue queues a frame for the writing goroutine. It returns errSendQueueFull if the
// frame would exceed maxQueuedBytes.
func (c *connection) enqueue(messageType wire.Type, frame []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return nil
	}
	if c.queuedBytes > 0 && c.queuedBytes+len(frame) > maxQueuedBytes {
		return errSendQueueFull
	}
	if IsUrgent(messageType) {
		c.urgent = append(c.urgent, queuedFrame{messageType, frame})
	} else {
		c.queue = append(c.queue, queuedFrame{messageType, frame})
	}
	c.queuedBytes += len(frame)
	c.wakeWriter()
	return nil
}

func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// closeGracefully closes the connection once the queued frames are written and the peer
// has closed its side, or after closeTimeout.
func (c *connection) closeGracefully() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return
	}
	c.closing = true
	c.closeDeadline = time.Now().Add(closeTimeout)
	_ = c.raw.SetDeadline(c.closeDeadline)
	c.wakeWriter()
}

// closeWrite closes the sending direction. Closing the socket instead could lose the
// last frame if there is unread data from the peer.
func (c *connection) closeWrite() {
	type writeCloser interface{ CloseWrite() error }
	if half, ok := c.raw.Conn.(writeCloser); ok {
		_ = half.CloseWrite()
		return
	}
	_ = c.raw.Close()
}

// dequeueUrgent removes and returns the next urgent frame.
func (c *connection) dequeueUrgent() (frame queuedFrame, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return popFirst(&c.urgent)
}

// dequeue removes and returns the next frame. closing reports whether to close the connection
// when the queue is empty.
func (c *connection) dequeue() (frame queuedFrame, found, closing bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if frame, found = popFirst(&c.urgent); !found {
		frame, found = popFirst(&c.queue)
	}
	return frame, found, c.closing
}

func popFirst(queue *[]queuedFrame) (frame queuedFrame, found bool) {
	if len(*queue) == 0 {
		return queuedFrame{}, false
	}
	frame = (*queue)[0]
	*queue = (*queue)[1:]
	return frame, true
}

func (c *connection) releaseQueued(frame []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queuedBytes -= len(frame)
}

// writeQueued writes enqueued frames until a write fails, a graceful close completes, or
// ended is closed.
func (c *connection) writeQueued(ended <-chan struct{}) {
	defer c.raw.Close()
	for {
		next, found, closing := c.dequeue()
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

// writeInParts writes a frame. If the peer accepts parts, a large frame is split, and urgent
// frames are written between its parts.
func (c *connection) writeInParts(next queuedFrame) error {
	c.counters.sent[next.messageType].frames.Add(1)
	parts := [][]byte{next.frame}
	if c.acceptsParts.Load() {
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
	c.releaseQueued(next.frame)
	return nil
}

func (c *connection) writeUrgent() error {
	for {
		urgent, found := c.dequeueUrgent()
		if !found {
			return nil
		}
		if err := c.write(urgent.messageType, urgent.frame); err != nil {
			return err
		}
		c.releaseQueued(urgent.frame)
	}
}

package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/proxy/forward"
)

const (
	readBufferBytes = 4 << 10
	// writeTimeout is how long a client may take to accept a response.
	writeTimeout = 20 * time.Second
)

// exchange is one request on a connection and the channel for its response.
type exchange struct {
	request *message.Request
	// closeAfter is set when the connection is to be closed after the response.
	closeAfter bool
	isHead     bool
	answer     chan *message.Response
	// refused is set when the response is already in answer and the request does not run.
	refused bool
	// reportsProgress is set when the client asked for progress reports.
	reportsProgress bool
	// heldBody is the memory of the request's body, until the handler returns.
	heldBody *heldBody
	// heldBytes is the size of the response, counted in the connection's held responses.
	heldBytes int64
}

// connection is one connection of a client. One goroutine reads requests, one writes responses while
// there are any to write, and one runs for each request in progress.
type connection struct {
	server *Server
	conn   net.Conn
	// reader is nil while the connection waits for a request without a buffer.
	reader *bufio.Reader
	bound  *message.BoundedReader
	// first waits for requests; nil: the connection keeps its read buffer.
	first *firstRead

	ctx    context.Context
	cancel context.CancelFunc
	queue  *answerQueue
	// destination is what responses are written to. broken is set when one could not be written
	// completely; only the writer uses it.
	destination io.Writer
	broken      bool
	// answers writes the responses where they are scheduled on the machine's link, and held counts
	// those that are ready; nil: neither.
	answers *answerWriter
	held    *heldResponses

	mutex       sync.Mutex
	pendingFell *sync.Cond // uses mutex; signalled when pending decreases
	pending     int        // requests read and not yet answered
	reading     bool       // a request is being read
	closing     bool       // no further request is accepted
}

func newConnection(server *Server, conn net.Conn) *connection {
	bound := message.NewBoundedReader(conn)
	ctx, cancel := context.WithCancel(context.Background())
	created := &connection{
		server: server,
		conn:   conn,
		bound:  bound,
		ctx:    ctx,
		cancel: cancel,
		queue:  newAnswerQueue(),
	}
	created.first = newFirstRead(created)
	created.pendingFell = sync.NewCond(&created.mutex)
	created.destination = created.answerDestination()
	return created
}

// run serves the connection until it ends.
func (c *connection) run() {
	if c.egress() != nil {
		c.held = c.server.options.Memory.register(c.conn.RemoteAddr().String(), c.closeNow)
	}
	end := c.readRequests()
	c.releaseReader()
	if end == clientLeft {
		c.closeNow()
	}
	c.queue.awaitWritten()
	c.closeNow()
	c.held.remove()
}

// closeNow closes the connection and cancels the requests in progress on it.
func (c *connection) closeNow() {
	c.cancel()
	_ = c.conn.Close()
}

// closeIfIdle closes the connection unless a request is in progress, or one has arrived that was not read yet.
func (c *connection) closeIfIdle() {
	if c.beginIdleClose() {
		c.closeNow() // without the mutex: Close waits for a read in progress, and tryRead for the mutex
	}
}

// beginIdleClose reports whether the connection is idle. If it is, no further request is accepted on it.
func (c *connection) beginIdleClose() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending > 0 || c.reading || c.closing || c.first.hasUnread() {
		return false
	}
	c.closing = true
	return true
}

// isOpen reports whether a request may still be answered on the connection. It is false
// when the connection only waits for the client to close it.
func (c *connection) isOpen() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.closing || c.pending > 0
}

// beginReading records that a request has begun to arrive. It returns false when the
// connection is closing.
func (c *connection) beginReading() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

// accept adds a request that was read to the number in progress. It returns false if the
// connection is closing; the request is then treated as unread.
func (c *connection) accept() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.pending++
	c.server.active.Add(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	return true
}

// decideClose decides, before a response is written, whether the connection closes with
// it. The connection stays open for requests that were accepted after this one, as the
// client would otherwise consider them not processed.
func (c *connection) decideClose(current *exchange, abort bool) (closes bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wanted := current.closeAfter || c.server.draining.Load()
	if abort || wanted && c.pending == 1 && !c.reading {
		c.closing = true
	}
	return c.closing && c.pending == 1
}

// finishExchange counts a response that was written. After the last one it starts the idle
// timeout of the connection.
func (c *connection) finishExchange() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending--
	c.pendingFell.Broadcast()
	c.server.active.Add(-1)
	if c.pending == 0 && !c.reading && !c.closing {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.options.Limits().IdleTimeout))
	}
}

// enqueue queues a request for its response.
func (c *connection) enqueue(taken *exchange) {
	if c.queue.add(taken) {
		c.server.write(c)
	}
}

// dispatch queues a request for its response and runs it in a new goroutine.
func (c *connection) dispatch(taken *exchange) {
	c.enqueue(taken)
	if taken.refused {
		return
	}
	go func() {
		ctx, cancel := context.WithCancel(c.ctx)
		defer cancel()
		answer := c.server.options.Handler.Serve(ctx, taken.request)
		taken.heldBody.release()
		taken.heldBytes = int64(len(answer.Body))
		c.held.add(taken.heldBytes)
		taken.answer <- answer
	}()
}

// peerClosed asks the kernel whether the client has closed the connection.
func (c *connection) peerClosed() bool { return forward.PeerClosed(c.conn) }

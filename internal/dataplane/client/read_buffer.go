package client

import (
	"bufio"
	"math"
	"sync"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// readBuffers holds the read buffers that no connection uses.
var readBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// takeReader gives the connection a read buffer, unless it has one.
func (c *conn) takeReader() {
	if c.bound == nil {
		c.bound = message.NewBoundedReader(c.Conn)
		c.bound.Set(math.MaxInt64)
	}
	if c.reader == nil {
		c.reader = readBuffers.Get().(*bufio.Reader)
		c.reader.Reset(c.bound)
	}
}

// releaseReader gives the read buffer of an idle connection back, unless something is left in it,
// which isReusable must see. The last response was read to its end, so that its body does not use
// the buffer again. A connection that is closed instead keeps its buffer, as its response may still
// be read.
func (c *conn) releaseReader() {
	if c.reader.Buffered() == 0 {
		c.reader.Reset(nil)
		readBuffers.Put(c.reader)
		c.reader = nil
	}
}

// hasUnread reports whether something was received after the last response.
func (c *conn) hasUnread() bool { return c.reader != nil && c.reader.Buffered() > 0 }

package server

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// firstRead waits for the first byte of a request. While nothing has arrived, the connection has no
// read buffer.
type firstRead struct {
	connection *connection
	raw        syscall.RawConn
	// try is the method tryRead.
	try func(descriptor uintptr) bool
	// descriptor is the connection's socket during a try.
	descriptor uintptr
	err        error
}

// newFirstRead returns nil if the connection is not a TCP connection whose descriptor can be read;
// the connection then keeps its read buffer.
func newFirstRead(c *connection) *firstRead {
	direct, ok := c.conn.(*net.TCPConn)
	if !ok || !canReadDescriptors {
		return nil
	}
	raw, err := direct.SyscallConn()
	if err != nil {
		return nil
	}
	created := &firstRead{connection: c, raw: raw}
	created.try = created.tryRead
	return created
}

// awaitRequest waits until a part of the next request is in the read buffer. It fails if the client
// leaves, the read deadline expires or the connection is closed.
func (c *connection) awaitRequest() error {
	if c.reader != nil && c.reader.Buffered() > 0 {
		return nil
	}
	if c.first != nil {
		c.releaseReader()
		return c.first.wait()
	}
	if c.reader == nil {
		c.reader = takeReader(c.bound)
	}
	_, err := c.reader.Peek(1)
	return err
}

// releaseReader gives the read buffer back.
func (c *connection) releaseReader() {
	releaseReader(c.reader)
	c.reader = nil
}

func (f *firstRead) wait() error {
	if err := f.raw.Read(f.try); err != nil {
		return err
	}
	return f.err
}

// tryRead reads what has arrived into a read buffer. It returns false if nothing has, and is called
// again when something may have.
func (f *firstRead) tryRead(descriptor uintptr) bool {
	c := f.connection
	c.mutex.Lock() // closeIfIdle finds the request either unread or being read
	defer c.mutex.Unlock()
	reader := takeReader(c.bound)
	c.bound.Inner, f.descriptor = f, descriptor
	_, f.err = reader.Peek(1)
	c.bound.Inner = c.conn
	if errors.Is(f.err, syscall.EAGAIN) {
		releaseReader(reader)
		return false
	}
	c.reader, c.reading = reader, f.err == nil
	return true
}

// hasUnread reports whether something has arrived on the connection that was not read. It is false if that is not known.
func (f *firstRead) hasUnread() bool {
	if f == nil {
		return false
	}
	unread := false
	err := f.raw.Control(func(descriptor uintptr) { unread = hasUnread(descriptor) })
	return err == nil && unread
}

// Read reads what has arrived, without waiting; it fails with syscall.EAGAIN if nothing has.
func (f *firstRead) Read(data []byte) (int, error) {
	for {
		count, err := readDescriptor(f.descriptor, data)
		switch {
		case err == syscall.EINTR:
		case err != nil:
			return 0, err
		case count == 0:
			return 0, io.EOF
		default:
			return count, nil
		}
	}
}

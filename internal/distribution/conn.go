package distribution

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes at the socket, below any encryption.
type countingConn struct {
	net.Conn
	read, written atomic.Int64
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.read.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.written.Add(int64(n))
	return n, err
}

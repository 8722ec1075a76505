package backend

import (
	"net"
	"sync"
)

// countingListener counts the open connections and closes new ones above a limit.
type countingListener struct {
	net.Listener
	limit    int // zero: unlimited
	counters *counters
	mu       sync.Mutex
	open     map[*countedConn]struct{}
}

func newCountingListener(inner net.Listener, limit int, counters *counters) *countingListener {
	return &countingListener{
		Listener: inner,
		limit:    limit,
		counters: counters,
		open:     map[*countedConn]struct{}{},
	}
}

// Accept returns the next connection within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if counted := l.admit(conn); counted != nil {
			return counted, nil
		}
		_ = conn.Close()
	}
}

func (l *countingListener) admit(conn net.Conn) *countedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.counters.connectionViolations.Add(1)
		return nil
	}
	counted := &countedConn{Conn: conn, listener: l}
	l.open[counted] = struct{}{}
	l.counters.connections.add(1)
	return counted
}

// resetAll resets every open connection.
func (l *countingListener) resetAll() {
	l.mu.Lock()
	conns := make([]*countedConn, 0, len(l.open))
	for conn := range l.open {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		conn.reset()
	}
}

// countedConn is removed from its listener's count when it is closed. The count falls
// before the peer can see the close, so it never exceeds the peer's own count.
type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.uncount)
	return c.Conn.Close()
}

// CloseWrite closes the sending side only, if the connection supports that.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// reset closes the connection with a TCP reset.
func (c *countedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (c *countedConn) uncount() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.open, c)
	c.listener.counters.connections.add(-1)
}

package fleet

import (
	"net"
	"sync"
)

// process stands for one operating system process of a node: it owns the node's
// connections, so that all of them can be frozen or dropped together.
type process struct {
	mutex       sync.Mutex
	connections map[*processConn]struct{}
	killed      bool
	thawed      chan struct{} // closed while the process runs
}

func newProcess() *process {
	p := &process{connections: make(map[*processConn]struct{}), thawed: make(chan struct{})}
	close(p.thawed)
	return p
}

// pause freezes the process until resume: it neither reads nor writes nor runs
// what asks by await.
func (p *process) pause() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case <-p.thawed:
		p.thawed = make(chan struct{})
	default:
	}
}

func (p *process) resume() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case <-p.thawed:
	default:
		close(p.thawed)
	}
}

// kill drops all connections, so that nothing more leaves the process. New ones
// are dropped at once.
func (p *process) kill() {
	p.mutex.Lock()
	p.killed = true
	dropped := make([]*processConn, 0, len(p.connections))
	for connection := range p.connections {
		dropped = append(dropped, connection)
	}
	p.mutex.Unlock()
	for _, connection := range dropped {
		connection.Close()
	}
	p.resume()
}

// await waits while the process is frozen.
func (p *process) await(ended <-chan struct{}) {
	p.mutex.Lock()
	thawed := p.thawed
	p.mutex.Unlock()
	select {
	case <-thawed:
	case <-ended:
	}
}

// own makes the connection one of the process.
func (p *process) own(connection net.Conn) net.Conn {
	owned := &processConn{Conn: connection, process: p, closed: make(chan struct{})}
	p.mutex.Lock()
	killed := p.killed
	if !killed {
		p.connections[owned] = struct{}{}
	}
	p.mutex.Unlock()
	if killed {
		owned.Close()
	}
	return owned
}

func (p *process) disown(connection *processConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, connection)
}

// processConn stops while its process is frozen.
type processConn struct {
	net.Conn
	process *process
	once    sync.Once
	closed  chan struct{}
}

// Read returns nothing while the process is frozen, what came before included.
func (c *processConn) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	c.process.await(c.closed)
	return count, err
}

// Write sends nothing while the process is frozen.
func (c *processConn) Write(b []byte) (int, error) {
	c.process.await(c.closed)
	return c.Conn.Write(b)
}

// Close drops the connection.
func (c *processConn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		c.process.disown(c)
		err = c.Conn.Close()
	})
	return err
}

// processListener gives accepted connections to the process and counts them.
type processListener struct {
	net.Listener
	process *process
	traffic *Traffic
}

func (l *processListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.process.await(nil)
	return l.process.own(l.traffic.peer(connection)), nil
}

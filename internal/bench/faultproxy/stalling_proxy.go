package faultproxy

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// StallingProxy is a TCP proxy that can stall its open connections: after StallOpenConnections they stay
// open without a reset, but nothing more is forwarded on them in either direction. Later
// connections work. toxiproxy can't tell open connections from later ones.
type StallingProxy struct {
	upstream  string
	listener  net.Listener
	onForward func(chunk []byte)

	mutex sync.Mutex
	// generation counts the calls of StallOpenConnections; connections of earlier generations are silent.
	generation int
	closed     bool
	conns      map[net.Conn]struct{}
}

// NewStallingProxy listens on listen (IP:port, port 0 for any free port) and forwards to
// upstream. onForward, unless it is nil, is called with each chunk that was forwarded, and
// may call StallOpenConnections.
func NewStallingProxy(listen, upstream string, onForward func(chunk []byte)) (*StallingProxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "stalling proxy: listen on %s", listen)
	}
	if onForward == nil {
		onForward = func([]byte) {}
	}
	s := &StallingProxy{upstream: upstream, listener: listener, onForward: onForward, conns: make(map[net.Conn]struct{})}
	go s.accept()
	return s, nil
}

// Address returns the address that the StallingProxy listens on (IP:port).
func (s *StallingProxy) Address() string { return s.listener.Addr().String() }

// StallOpenConnections stops forwarding on the connections that are open now.
func (s *StallingProxy) StallOpenConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.generation++
}

// Close closes the listener and all connections, including the silent ones.
func (s *StallingProxy) Close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *StallingProxy) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go s.connect(conn)
	}
}

func (s *StallingProxy) connect(client net.Conn) {
	server, err := net.Dial("tcp", s.upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = client.Close()
		_ = server.Close()
		return
	}
	s.conns[client], s.conns[server] = struct{}{}, struct{}{}
	var directions sync.WaitGroup
	generation := s.generation
	directions.Go(func() { s.forward(client, server, generation) })
	directions.Go(func() { s.forward(server, client, generation) })
	go func() {
		directions.Wait()
		if !s.isSilent(generation) {
			s.closeConns(client, server)
		}
	}()
}

// forward copies one direction until it ends or the connection is silent.
func (s *StallingProxy) forward(from, to net.Conn, generation int) {
	chunk := make([]byte, 16<<10)
	for {
		count, err := from.Read(chunk)
		if s.isSilent(generation) {
			return
		}
		if _, writeErr := to.Write(chunk[:count]); writeErr != nil {
			_ = from.Close()
			return
		}
		s.onForward(chunk[:count])
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // fails when the other side is already closed
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (s *StallingProxy) isSilent(generation int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.generation != generation
}

func (s *StallingProxy) closeConns(conns ...net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(s.conns, conn)
	}
}

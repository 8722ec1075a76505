package fleet

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes at the sockets of all simulated nodes, TLS included.
type Traffic struct {
	peerIn, peerOut, sourceIn, sourceOut atomic.Uint64
}

// TrafficTotals are the counts at one time.
type TrafficTotals struct {
	PeerIn, PeerOut, SourceIn, SourceOut uint64
}

// Totals returns the counts so far.
func (t *Traffic) Totals() TrafficTotals {
	return TrafficTotals{
		PeerIn:    t.peerIn.Load(),
		PeerOut:   t.peerOut.Load(),
		SourceIn:  t.sourceIn.Load(),
		SourceOut: t.sourceOut.Load(),
	}
}

// all is what the nodes received and sent together.
func (t TrafficTotals) all() uint64 { return t.PeerIn + t.PeerOut + t.SourceIn + t.SourceOut }

// perNode is the mean over the nodes of what passed since before.
func (t TrafficTotals) perNode(before TrafficTotals, nodes int) float64 {
	return float64(t.all()-before.all()) / float64(nodes)
}

// peer counts a connection between nodes.
func (t *Traffic) peer(connection net.Conn) net.Conn {
	return &countedConn{Conn: connection, in: &t.peerIn, out: &t.peerOut}
}

// source counts a connection to the platform.
func (t *Traffic) source(connection net.Conn) net.Conn {
	return &countedConn{Conn: connection, in: &t.sourceIn, out: &t.sourceOut}
}

type countedConn struct {
	net.Conn
	in, out *atomic.Uint64
}

func (c *countedConn) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	c.in.Add(uint64(count))
	return count, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	count, err := c.Conn.Write(b)
	c.out.Add(uint64(count))
	return count, err
}

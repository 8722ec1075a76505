package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/winchhead/winchhead/internal/wait"
)

// Delays are the one-way delays of the simulated network.
type Delays struct {
	// Zone is between two zones of a region, Region between two regions. Inside a
	// zone there is none beyond that of loopback.
	Zone   time.Duration
	Region time.Duration
}

// DefaultDelays are those of the brief between zones, and of a neighbouring
// country between regions.
func DefaultDelays() Delays {
	return Delays{Zone: 1500 * time.Microsecond, Region: 15 * time.Millisecond}
}

func (d Delays) between(a, b Location) time.Duration {
	switch {
	case a.Region != b.Region:
		return d.Region
	case a.Zone != b.Zone:
		return d.Zone
	default:
		return 0
	}
}

// endpoint is one end of a connection.
type endpoint struct {
	node int
	Location
}

// Cut tells which pairs of ends cannot exchange packets.
type Cut func(a, b endpoint) bool

// Network carries the connections between simulated nodes. A cut drops nothing:
// packets wait until it heals, as with TCP, and neither end is told.
type Network struct {
	delays Delays
	mutex  sync.Mutex
	places map[string]endpoint // by address
	cuts   atomic.Pointer[cutState]
}

type cutState struct {
	cut     Cut
	changed chan struct{}
}

// NewNetwork returns a network without cuts.
func NewNetwork(delays Delays) *Network {
	n := &Network{delays: delays, places: make(map[string]endpoint)}
	n.cuts.Store(&cutState{changed: make(chan struct{})})
	return n
}

// place tells the network who is at an address.
func (n *Network) place(address string, at endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.places[address] = at
}

// Partition puts a cut in force in place of any other; nil heals the network.
func (n *Network) Partition(cut Cut) {
	former := n.cuts.Swap(&cutState{cut: cut, changed: make(chan struct{})})
	close(former.changed)
}

// waitOpen returns true once packets pass between the ends, or false when ended
// is closed first.
func (n *Network) waitOpen(a, b endpoint, ended <-chan struct{}) bool {
	for {
		state := n.cuts.Load()
		if state.cut == nil || !state.cut(a, b) {
			return true
		}
		select {
		case <-state.changed:
		case <-ended:
			return false
		}
	}
}

// dial connects a node to an address, one round trip later.
func (n *Network) dial(ctx context.Context, from endpoint, address string) (net.Conn, error) {
	n.mutex.Lock()
	to, known := n.places[address]
	n.mutex.Unlock()
	if !known {
		return nil, eris.Errorf("no node was ever at %s", address)
	}
	delay := n.delays.between(from.Location, to.Location)
	if err := wait.For(ctx, 2*delay); err != nil {
		return nil, err
	}
	if !n.waitOpen(from, to, ctx.Done()) {
		return nil, ctx.Err()
	}
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	return newDelayedConn(socket, n, from, to, delay), nil
}

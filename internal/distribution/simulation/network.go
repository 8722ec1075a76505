package simulation

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// maxUndelivered is how many bytes may be queued for a peer that reads nothing before the
// sender closes the link because the peer is slow.
const maxUndelivered = 16 << 10

// endpoint is one end of a link.
type endpoint struct {
	process *process
	link    distribution.LinkID
}

// connection is an ordered byte stream between two processes.
type connection struct {
	fleet    *Fleet
	sequence uint64
	ends     [2]endpoint
	closed   [2]bool
	// lastAt is when the last frame for each end arrives, urgentAt the last one that overtakes
	// large frames; they keep frames in order. held is queued until the end of a cut.
	lastAt   [2]time.Time
	urgentAt [2]time.Time
	held     [2][]transfer
	bytes    [2]int
	// helloReceived is set once the Hello from end 0, which dialled, has arrived.
	helloReceived bool
	// silent is set once the link drops everything, permanently and without an error.
	silent bool
}

// transfer is a frame, or the end of the stream if frame is nil.
type transfer struct {
	frame     []byte
	duplicate bool // delivered a second time
}

func (f *Fleet) sortedConnections() []*connection {
	unique := make(map[uint64]*connection)
	for _, c := range f.links {
		unique[c.sequence] = c
	}
	return slices.SortedFunc(maps.Values(unique), func(a, b *connection) int { return cmp.Compare(a.sequence, b.sequence) })
}

// Peers returns the machines that a machine has links with.
func (f *Fleet) Peers(name membership.NodeID) (peers []membership.NodeID) {
	for _, c := range f.sortedConnections() {
		if end, mine := c.endOf(f.processes[name]); mine {
			peers = append(peers, c.ends[1-end].process.machine.Name)
		}
	}
	return peers
}

// SilenceLinks makes all open links drop everything without telling their ends. New links work.
func (f *Fleet) SilenceLinks() {
	for _, c := range f.sortedConnections() {
		c.silent = true
	}
}

// separated reports whether two machines cannot open a connection, which takes both directions.
func (f *Fleet) separated(a, b *Machine) bool { return f.cut(a, b) || f.cut(b, a) }

func (p *process) dial(action distribution.Dial) {
	f := p.fleet
	target := f.processes[membership.NodeID(action.Address)]
	failed := func(refused bool) func() {
		return func() { p.handle(distribution.DialFailed{Link: action.Link, Refused: refused}) }
	}
	if target == nil || f.separated(p.machine, target.machine) {
		f.forProcess(p, f.options.Timing.DialTimeout, failed(false))
		return
	}
	f.forProcess(p, 2*f.jitter(f.options.Latency), func() {
		if !target.alive || f.separated(p.machine, target.machine) {
			failed(!target.alive)()
			return
		}
		target.incoming += 2
		f.sequence++
		c := &connection{fleet: f, sequence: f.sequence, ends: [2]endpoint{{p, action.Link}, {target, target.incoming}}}
		for _, end := range c.ends {
			f.links[end] = c
		}
		p.handle(distribution.Connected{Link: action.Link})
	})
}

func (p *process) send(action distribution.Send) {
	for _, id := range action.Links {
		c := p.fleet.links[endpoint{p, id}]
		if c == nil {
			continue
		}
		p.sentFrames++
		p.sentBytes += int64(len(action.Frame))
		end := c.endFor(p, id)
		if c.ends[1-end].process.machine.Zone != p.machine.Zone {
			p.sentBetweenZones += int64(len(action.Frame))
		}
		c.transfer(end, transfer{frame: action.Frame})
	}
}

func (c *connection) endFor(p *process, id distribution.LinkID) int {
	if c.ends[0] == (endpoint{p, id}) {
		return 0
	}
	return 1
}

func (c *connection) endOf(p *process) (int, bool) {
	for i := range c.ends {
		if c.ends[i].process == p {
			return i, true
		}
	}
	return 0, false
}

// close ends the stream from one end. The other end is told after it has received what was
// sent before.
func (c *connection) close(end int) {
	if c.closed[end] {
		return
	}
	c.closed[end] = true
	delete(c.fleet.links, c.ends[end])
	c.transfer(end, transfer{})
}

// transfer sends an item from one end to the other.
func (c *connection) transfer(from int, item transfer) {
	to := 1 - from
	if c.closed[to] || c.silent {
		return
	}
	if c.stalled(to) || len(c.held[to]) > 0 {
		c.held[to] = append(c.held[to], item)
		c.bytes[to] += len(item.frame)
		if c.bytes[to] > maxUndelivered && c.ends[to].process.slow && !c.closed[from] {
			c.closeAsSlow(from)
		}
		return
	}
	c.deliver(to, item)
	if item.frame != nil && c.fleet.random.Float64() < c.fleet.options.Duplicates && c.helloReceived {
		item.duplicate = true
		c.deliver(to, item)
	}
}

// stalled reports whether messages to one end of the connection are currently delayed, because
// its process is slow or the network is cut.
func (c *connection) stalled(to int) bool {
	return c.ends[to].process.slow || c.fleet.cut(c.ends[1-to].process.machine, c.ends[to].process.machine)
}

// closeAsSlow closes the connection from an end whose peer is slow, and tells that end.
func (c *connection) closeAsSlow(from int) {
	sender := c.ends[from]
	c.held[1-from] = nil
	c.close(from)
	c.fleet.forProcess(sender.process, 0, func() {
		sender.process.handle(distribution.LinkDown{Link: sender.link, Cause: distribution.DownSlow})
	})
}

// release delivers the queued items to each end that is no longer stalled.
func (c *connection) release() {
	for to := range c.ends {
		if c.stalled(to) {
			continue
		}
		held := c.held[to]
		c.held[to], c.bytes[to] = nil, 0
		for _, item := range held {
			c.deliver(to, item)
		}
	}
}

// deliver schedules the arrival of an item at an end, in the order of sending.
func (c *connection) deliver(to int, item transfer) {
	f := c.fleet
	sender := c.ends[1-to].process
	last, leaves := &c.lastAt[to], sender.departureInOrder(len(item.frame))
	if f.options.LinkRate > 0 && overtakesLargeFrames(item.frame) {
		last, leaves = &c.urgentAt[to], sender.departureAhead(len(item.frame))
	}
	at := leaves.Add(f.jitter(f.options.Latency))
	if at.Before(*last) {
		at = *last
	}
	*last = at
	f.forProcess(c.ends[to].process, at.Sub(f.now), func() { c.arrived(to, item) })
}

// overtakesLargeFrames reports whether a frame is sent ahead of large ones on a link.
func overtakesLargeFrames(frame []byte) bool {
	if len(frame) == 0 || len(frame) > wire.PartBytes {
		return false
	}
	message, _, err := wire.NewReader(bytes.NewReader(frame), wire.Limits{}).Next()
	return err == nil && distribution.IsUrgent(message.Type())
}

// departureInOrder returns when a frame of some bytes has left a machine's link after all frames
// queued before it.
func (p *process) departureInOrder(bytes int) time.Time {
	if p.fleet.options.LinkRate == 0 {
		return p.fleet.now
	}
	if p.linkFreeAt.Before(p.fleet.now) {
		p.linkFreeAt = p.fleet.now
	}
	p.linkFreeAt = p.linkFreeAt.Add(p.fleet.transmissionTime(bytes))
	return p.linkFreeAt
}

// departureAhead returns when a frame of some bytes has left a machine's link after at most one
// part of a large frame.
func (p *process) departureAhead(bytes int) time.Time {
	wait := min(max(p.linkFreeAt.Sub(p.fleet.now), 0), p.fleet.transmissionTime(wire.PartBytes))
	p.departureInOrder(bytes) // delays the queued frames by as much
	return p.fleet.now.Add(wait + p.fleet.transmissionTime(bytes))
}

// transmissionTime returns how long a machine's link takes to send some bytes.
func (f *Fleet) transmissionTime(bytes int) time.Duration {
	return time.Duration(int64(bytes) * int64(time.Second) / f.options.LinkRate)
}

// arrived passes an item to the participant at an end.
func (c *connection) arrived(to int, item transfer) {
	if c.closed[to] {
		return
	}
	end := c.ends[to]
	if item.frame == nil {
		c.drop(to, distribution.DownBroken)
		return
	}
	message, _, err := wire.NewReader(bytes.NewReader(item.frame), wire.Limits{}).Next()
	if err != nil {
		c.drop(to, distribution.DownFault)
		return
	}
	if item.duplicate && message.Type() == wire.TypeHello {
		return // a connection is opened only once
	}
	if hello, ok := message.(*wire.Hello); ok && to == 1 && !c.helloReceived {
		c.helloReceived = true
		end.process.handle(distribution.Accepted{Link: end.link, Hello: hello})
		return
	}
	if to == 1 && !c.helloReceived {
		c.drop(to, distribution.DownFault)
		return
	}
	end.process.handle(distribution.Message{Link: end.link, Message: message})
}

// drop ends the stream at an end and reports it to the participant there.
func (c *connection) drop(to int, cause distribution.DownCause) {
	end := c.ends[to]
	known := to == 0 || c.helloReceived
	c.close(to)
	if known {
		end.process.handle(distribution.LinkDown{Link: end.link, Cause: cause})
	}
}

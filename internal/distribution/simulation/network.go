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

// maxUndelivered is how much may wait on a link to a peer that takes nothing
// before the sender is told that the peer is slow.
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
	// lastAt keeps what is sent to each end in order, urgentAt what passes large frames; held
	// is what waits for the end of a cut.
	lastAt   [2]time.Time
	urgentAt [2]time.Time
	held     [2][]transfer
	bytes    [2]int
	// greeted is set once the Hello of end 0, which dialled, has arrived.
	greeted bool
	// silent is set once nothing passes any more, for good and without a word.
	silent bool
}

// transfer is a frame, or the end of the stream when frame is nil.
type transfer struct {
	frame []byte
	again bool // a second arrival
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

// SilenceLinks has all links fall silent that are open, without their ends knowing. New
// ones work.
func (f *Fleet) SilenceLinks() {
	for _, c := range f.sortedConnections() {
		c.silent = true
	}
}

func (p *process) dial(action distribution.Dial) {
	f := p.fleet
	target := f.processes[membership.NodeID(action.Address)]
	failed := func(refused bool) func() {
		return func() { p.handle(distribution.DialFailed{Link: action.Link, Refused: refused}) }
	}
	if target == nil || f.cut(p.machine, target.machine) {
		f.forProcess(p, f.options.Timing.DialTimeout, failed(false))
		return
	}
	f.forProcess(p, 2*f.jitter(f.options.Latency), func() {
		if !target.alive || f.cut(p.machine, target.machine) {
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
		c.transfer(c.endFor(p, id), transfer{frame: action.Frame})
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

// close ends the stream from one end. The other end learns it after what was
// sent before.
func (c *connection) close(end int) {
	if c.closed[end] {
		return
	}
	c.closed[end] = true
	delete(c.fleet.links, c.ends[end])
	c.transfer(end, transfer{})
}

// transfer sends from one end to the other.
func (c *connection) transfer(from int, item transfer) {
	to := 1 - from
	if c.closed[to] || c.silent {
		return
	}
	if c.stalled(to) || len(c.held[to]) > 0 {
		c.held[to] = append(c.held[to], item)
		c.bytes[to] += len(item.frame)
		if c.bytes[to] > maxUndelivered && c.ends[to].process.slow && !c.closed[from] {
			c.tooSlow(from)
		}
		return
	}
	c.deliver(to, item)
	if item.frame != nil && c.fleet.random.Float64() < c.fleet.options.Duplicates && c.greeted {
		item.again = true
		c.deliver(to, item)
	}
}

// stalled reports whether nothing arrives at an end now.
func (c *connection) stalled(to int) bool {
	return c.ends[to].process.slow || c.fleet.cut(c.ends[0].process.machine, c.ends[1].process.machine)
}

func (c *connection) tooSlow(from int) {
	sender := c.ends[from]
	c.held[1-from] = nil
	c.close(from)
	c.fleet.forProcess(sender.process, 0, func() {
		sender.process.handle(distribution.LinkDown{Link: sender.link, Cause: distribution.DownSlow})
	})
}

// release delivers what was held back, once nothing stalls it.
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

// deliver brings an item to an end, in the order in which items were sent.
func (c *connection) deliver(to int, item transfer) {
	f := c.fleet
	sender := c.ends[1-to].process
	last, leaves := &c.lastAt[to], sender.leavesLink(len(item.frame))
	if f.options.LinkRate > 0 && passesLargeFrames(item.frame) {
		last, leaves = &c.urgentAt[to], sender.passesLink(len(item.frame))
	}
	at := leaves.Add(f.jitter(f.options.Latency))
	if at.Before(*last) {
		at = *last
	}
	*last = at
	f.forProcess(c.ends[to].process, at.Sub(f.now), func() { c.arrived(to, item) })
}

// passesLargeFrames reports whether a frame goes ahead of large ones on a link.
func passesLargeFrames(frame []byte) bool {
	if len(frame) == 0 || len(frame) > wire.PartBytes {
		return false
	}
	message, _, err := wire.NewReader(bytes.NewReader(frame), wire.Limits{}).Next()
	return err == nil && distribution.IsUrgent(message.Type())
}

// leavesLink returns when so many bytes have left a machine's link behind all others.
func (p *process) leavesLink(bytes int) time.Time {
	if p.fleet.options.LinkRate == 0 {
		return p.fleet.now
	}
	if p.linkFree.Before(p.fleet.now) {
		p.linkFree = p.fleet.now
	}
	p.linkFree = p.linkFree.Add(p.fleet.onLink(bytes))
	return p.linkFree
}

// passesLink returns when so many bytes have left a machine's link behind one part of a large
// frame.
func (p *process) passesLink(bytes int) time.Time {
	wait := min(max(p.linkFree.Sub(p.fleet.now), 0), p.fleet.onLink(wire.PartBytes))
	p.leavesLink(bytes) // what waits goes out later by that
	return p.fleet.now.Add(wait + p.fleet.onLink(bytes))
}

// onLink is how long a machine's link takes for so many bytes.
func (f *Fleet) onLink(bytes int) time.Duration {
	return time.Duration(int64(bytes) * int64(time.Second) / f.options.LinkRate)
}

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
	if item.again && message.Type() == wire.TypeHello {
		return // a connection opens once
	}
	if hello, ok := message.(*wire.Hello); ok && to == 1 && !c.greeted {
		c.greeted = true
		end.process.handle(distribution.Accepted{Link: end.link, Hello: hello})
		return
	}
	if to == 1 && !c.greeted {
		c.drop(to, distribution.DownFault)
		return
	}
	end.process.handle(distribution.Message{Link: end.link, Message: message})
}

// drop ends the stream at an end that did not ask for it.
func (c *connection) drop(to int, cause distribution.DownCause) {
	end := c.ends[to]
	known := to == 0 || c.greeted
	c.close(to)
	if known {
		end.process.handle(distribution.LinkDown{Link: end.link, Cause: cause})
	}
}

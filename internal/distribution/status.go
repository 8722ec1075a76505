package distribution

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxStatusRequests bounds the status requests that QueryAll runs at once.
	maxStatusRequests = 32
	// statusTimeout bounds sending, and serving, one status request.
	statusTimeout = 3 * time.Second
)

// Status returns the status of the engine's node.
func (e *Engine) Status() wire.StatusReply {
	self := e.table.Self()
	return wire.StatusReply{
		Node:        self.Node,
		Incarnation: self.Incarnation,
		Zone:        self.Zone,
		State:       self.State,
		Held:        e.push.heldVersion(),
		Refused:     e.push.refusals.reported.Version,
		Reason:      e.push.refusals.reported.Reason,
		Conflict:    e.push.conflict,
		Reader:      e.sourceReader.state() == wire.ReadingActive,
		SourceAge:   e.sourceAge(),
	}
}

// engineStatus is the published state from which Node.Status answers. It does not contain
// the reply's SourceAge, which depends on the time of the request.
type engineStatus struct {
	reply       wire.StatusReply
	confirmedAt time.Time
}

func (n *Node) publishStatus() {
	n.counters.establishedLinks.Store(int64(n.engine.overlay.countEstablished()))
	n.counters.standIns.Store(n.engine.freshness.standIns)
	status := engineStatus{reply: n.engine.Status(), confirmedAt: n.engine.freshness.confirmedAt}
	status.reply.SourceAge = unknownSourceAge
	if current := n.status.Load(); current != nil && *current == status {
		return
	}
	published := status
	n.status.Store(&published)
}

// SourceAge returns how long ago, as far as this node knows, its version was the newest of the source;
// false: never.
func (n *Node) SourceAge() (age time.Duration, known bool) {
	confirmedAt := n.status.Load().confirmedAt
	return n.options.Now().Sub(confirmedAt), !confirmedAt.IsZero()
}

// Status returns the status of this node.
func (n *Node) Status() wire.StatusReply {
	status := n.status.Load()
	reply := status.reply
	if age, known := n.SourceAge(); known {
		reply.SourceAge = age.Milliseconds()
	}
	if n.options.Generation != nil {
		reply.Generation = n.options.Generation()
	}
	return reply
}

// serveStatus answers one StatusRequest.
func (n *Node) serveStatus(c *connection) {
	defer c.conn.Close()
	if err := c.conn.SetDeadline(time.Now().Add(statusTimeout)); err != nil {
		return
	}
	message, err := c.next()
	if _, asked := message.(*wire.StatusRequest); err != nil || !asked {
		return
	}
	reply := n.Status()
	if c.writeMessage(&reply) != nil {
		return
	}
	_, _ = c.next() // lets the peer read the reply before the socket is closed
}

// QueryAll requests the status of every known live member and returns one report each,
// sorted by node.
func (n *Node) QueryAll(ctx context.Context) []MemberStatus {
	members := n.View().Members()
	reports := make([]MemberStatus, len(members))
	var group errgroup.Group
	group.SetLimit(maxStatusRequests)
	for i := range members {
		group.Go(func() error {
			reports[i] = n.memberStatus(ctx, &members[i].Record)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(reports, func(a, b MemberStatus) int { return cmp.Compare(a.Node, b.Node) })
	return reports
}

func (n *Node) memberStatus(ctx context.Context, member *membership.Record) MemberStatus {
	if member.Node == n.options.Self.Node {
		reply := n.Status()
		return MemberStatus{Node: member.Node, Reply: &reply}
	}
	reply, err := n.requestStatus(ctx, member.PeerAddress)
	if err != nil {
		return MemberStatus{Node: member.Node, Error: err.Error()}
	}
	return MemberStatus{Node: member.Node, Reply: reply}
}

func (n *Node) requestStatus(ctx context.Context, address string) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	c, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	defer c.conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer stop()
	hello := &wire.Hello{Protocol: wire.ProtocolVersion, Self: n.options.Self, Purpose: wire.PurposeStatus}
	for _, message := range []wire.Message{hello, &wire.StatusRequest{}} {
		if err := c.writeMessage(message); err != nil {
			return nil, err
		}
	}
	message, err := c.next()
	if err != nil {
		return nil, err
	}
	reply, ok := message.(*wire.StatusReply)
	if !ok {
		return nil, wire.ErrFrame
	}
	return reply, nil
}

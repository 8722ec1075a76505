package distribution

import (
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

func (event Message) apply(e *Engine) {
	l := e.overlay.links[event.Link]
	if l == nil {
		return
	}
	if l.phase == phaseUp {
		l.lastReceived = e.now
		e.dispatch(l, event.Message)
		return
	}
	switch m := event.Message.(type) {
	case *wire.Hello:
		e.onHello(l, m)
	case *wire.Goodbye:
		e.onGoodbye(l, m.Reason)
	default:
		e.closeFaultyLink(l, "its first message was not a hello")
	}
}

// onHello handles the peer's Hello on a link that this node dialled.
func (e *Engine) onHello(l *link, hello *wire.Hello) {
	node := hello.Self.Node
	switch {
	case hello.Protocol != wire.ProtocolVersion:
		e.closeLink(l, wire.GoodbyeProtocol)
		e.noteOtherProtocol(node)
		return
	case node == e.options.Self.Node:
		// The list has this node's address under another name, or has this node's name
		// for another process. The record of that process must reach the table.
		e.closeLink(l, wire.GoodbyeDuplicate)
		e.overlay.peer(l.node).retryAt = e.now.Add(e.jittered(e.timing.RefusedWait))
		e.mergeRecords([]membership.Record{hello.Self}, l.id)
		return
	case node != l.node && !l.probe && e.overlay.linkTo(node) != nil:
		e.closeLink(l, wire.GoodbyeDuplicate)
		return
	}
	e.linkUp(l, hello)
}

func (e *Engine) dispatch(l *link, message wire.Message) {
	switch m := message.(type) {
	case *wire.Heartbeat:
		e.onHeartbeat(l, m)
	case *wire.Announce:
		e.onAnnounce(l, m)
	case *wire.Pull:
		e.onPull(l, m)
	case *wire.Update:
		e.onUpdate(l, m)
	case *wire.Digest:
		e.onDigest(l, m)
	case *wire.Records:
		e.onRecords(l, m)
	case *wire.RecordPull:
		e.onRecordPull(l, m)
	case *wire.Refusal:
		e.onRefusal(l, m)
	case *wire.Crashes:
		e.onCrashes(l, m)
	case *wire.FleetChanges:
		e.onFleetChanges(l, m)
	case *wire.SourceReport:
		e.onSourceReport(l, m)
	case *wire.Goodbye:
		e.onGoodbye(l, m.Reason)
	default:
		e.closeFaultyLink(l, "it sent a message type that is not allowed on a link")
	}
	if e.overlay.links[l.id] == l {
		e.finishProbe(l)
	}
}

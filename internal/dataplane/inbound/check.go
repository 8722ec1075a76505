package inbound

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// check decides whether the instance that is meant may get the request.
func (p *Proxy) check(order hop.Order) hop.Reason {
	current := p.options.Snapshots.Current()
	if current == nil {
		return hop.ReasonUnconfigured
	}
	instance, listed := current.Instance(order.Instance)
	p.cold.follow(current, time.Now())
	switch {
	case current.IsEvacuated(p.options.Zone):
		return hop.ReasonEvacuated
	case !listed && order.Revision > uint64(current.KnowsUpTo(order.Instance)):
		p.cold.started(order.Instance, current, time.Now())
		return hop.ReasonNone // the sender knows more; the instance itself checks its name
	case !listed, instance.State == snapshot.InstanceDraining:
		return hop.ReasonDraining
	case instance.Address != p.options.Backend, !current.HoldsAddress(order.Instance), p.ended.has(instance.Life()):
		return hop.ReasonWrongInstance
	}
	p.follow(instance.Slots)
	return hop.ReasonNone
}

// recheck is asked right before the request is sent, as the wait for a slot may
// have been long.
func (p *Proxy) recheck(ctx context.Context, request *message.Request, order hop.Order, deadline time.Time) hop.Reason {
	switch {
	case ctx.Err() != nil || request.SenderGone():
		return hop.ReasonCancelled
	case !deadline.After(time.Now()):
		return hop.ReasonDeadline
	default:
		return p.check(order)
	}
}

// follow takes over the slots that the instance names.
func (p *Proxy) follow(slots int) {
	if slots > 0 && p.slots.Swap(int64(slots)) != int64(slots) {
		p.queue.SetSlots(slots)
	}
}

package inbound

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// checkTarget returns why the request must not be sent to its target instance, or
// ReasonNone if it may be.
func (p *Proxy) checkTarget(order hop.Order) hop.Reason {
	current := p.options.Snapshots.Current()
	if current == nil {
		return hop.ReasonUnconfigured
	}
	instance, listed := current.Instance(order.Instance)
	p.cold.update(current, time.Now())
	switch {
	case current.IsEvacuated(p.options.Zone):
		return hop.ReasonEvacuated
	case p.options.Statements.IsLeaving(p.processOf(order.Instance)):
		return hop.ReasonDraining
	case !listed && order.Revision > uint64(current.KnownRevision(order.Instance)):
		p.cold.noteUnlisted(order.Instance, current, time.Now())
		p.stated.assume(snapshot.InstanceID{Name: order.Instance}, order.StatedLimit, time.Now())
		return hop.ReasonNone // the sender's configuration is newer; the instance itself checks its name
	case !listed, instance.State == snapshot.InstanceDraining:
		return hop.ReasonDraining
	case instance.Address != p.options.Backend, !current.OwnsAddress(order.Instance), p.stale.has(instance.ID()):
		return hop.ReasonWrongInstance
	}
	p.updateSlots(instance.Slots)
	if p.stated.assume(instance.ID(), order.StatedLimit, time.Now()) {
		p.queue.LimitChanged()
	}
	return hop.ReasonNone
}

// recheckTarget repeats the check right before the request is sent, as the wait for a
// slot may have been long.
func (p *Proxy) recheckTarget(ctx context.Context, request *message.Request, order hop.Order, deadline time.Time) hop.Reason {
	switch {
	case ctx.Err() != nil || request.IsClientGone():
		return hop.ReasonCancelled
	case !deadline.After(time.Now()):
		return hop.ReasonDeadline
	case p.isKeyRevoked(order):
		return hop.ReasonKeyRevoked
	default:
		return p.checkTarget(order)
	}
}

// isKeyRevoked reports whether the key of the request was revoked while the request waited. The
// sender's configuration decides while it is newer than this node's.
func (p *Proxy) isKeyRevoked(order hop.Order) bool {
	current := p.options.Snapshots.Current()
	if order.Tenant == "" || current == nil || uint64(current.Version().Revision) < order.Revision {
		return false
	}
	tenant := current.Tenant(order.Tenant)
	return tenant == nil || !tenant.HasKey(order.KeyTag)
}

// updateSlots applies the number of slots that the instance's entry specifies.
func (p *Proxy) updateSlots(slots int) {
	if slots > 0 && p.slots.Swap(int64(slots)) != int64(slots) {
		p.queue.SetSlots(slots)
	}
}

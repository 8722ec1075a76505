package distribution

import "time"

// delayWindow is how long the least transit time of a link is kept. Two windows are in use, so that the
// drift between two clocks does not add up.
const delayWindow = time.Minute

// queueingDelay estimates how long messages of a link waited on their way, as in a connection that was cut
// off and works again, from the times at which they were sent by the peer's clock and received by this
// node's. The offset of the clocks is not known, so the delay is counted from the least one seen.
type queueingDelay struct {
	least, previousLeast time.Duration
	windowStart          time.Duration
	started, rotated     bool
}

// of returns how much longer a message took than the fastest one of the link. Both times are counted from
// any fixed time of the clock's own.
func (d *queueingDelay) of(sentAt, receivedAt time.Duration) time.Duration {
	transit := receivedAt - sentAt
	switch {
	case !d.started:
		d.started, d.least, d.windowStart = true, transit, receivedAt
	case receivedAt-d.windowStart >= delayWindow:
		d.previousLeast, d.rotated = d.least, true
		d.least, d.windowStart = transit, receivedAt
	default:
		d.least = min(d.least, transit)
	}
	least := d.least
	if d.rotated {
		least = min(least, d.previousLeast)
	}
	return transit - least
}

package backend

import "sync/atomic"

// Statistics holds the counts since New. Fields that end in Now are gauges, those that
// end in Max the highest value of a gauge.
type Statistics struct {
	InFlightNow          int64 `json:"in_flight_now"`
	InFlightMax          int64 `json:"in_flight_max"`
	SlotViolations       int64 `json:"slot_violations"`
	ConnectionsNow       int64 `json:"connections_now"`
	ConnectionsMax       int64 `json:"connections_max"`
	ConnectionViolations int64 `json:"connection_violations"`
	SessionsNow          int64 `json:"sessions_now"`
	Shed                 int64 `json:"shed"`
	ExpiredOnArrival     int64 `json:"expired_on_arrival"`
	TakenWhileDraining   int64 `json:"taken_while_draining"`
}

// gauge holds a current value and the highest value so far.
type gauge struct{ now, highest atomic.Int64 }

func (g *gauge) add(delta int64) int64 {
	value := g.now.Add(delta)
	for {
		highest := g.highest.Load()
		if value <= highest || g.highest.CompareAndSwap(highest, value) {
			return value
		}
	}
}

type counters struct {
	inFlight             gauge
	connections          gauge
	sessions             gauge
	slotViolations       atomic.Int64
	connectionViolations atomic.Int64
	shed                 atomic.Int64
	expiredOnArrival     atomic.Int64
	takenWhileDraining   atomic.Int64
}

// Statistics returns the current counts.
func (b *Backend) Statistics() Statistics {
	c := &b.counters
	return Statistics{
		InFlightNow:          c.inFlight.now.Load(),
		InFlightMax:          c.inFlight.highest.Load(),
		SlotViolations:       c.slotViolations.Load(),
		ConnectionsNow:       c.connections.now.Load(),
		ConnectionsMax:       c.connections.highest.Load(),
		ConnectionViolations: c.connectionViolations.Load(),
		SessionsNow:          c.sessions.now.Load(),
		Shed:                 c.shed.Load(),
		ExpiredOnArrival:     c.expiredOnArrival.Load(),
		TakenWhileDraining:   c.takenWhileDraining.Load(),
	}
}

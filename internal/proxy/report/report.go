// Package report owns what a back end tells the node beside it: the headers on
// its answers and the bodies of its health and load endpoints. Each of them may
// lag or mislead; package inbound says how far they are believed.
package report

// Headers that a back end sets on its answers.
const (
	// HeaderShed is "1" on a 503 answer to a request that did not run.
	HeaderShed = "X-Shed"
	// HeaderDraining is "1" on each answer of a back end that is leaving.
	HeaderDraining = "X-Draining"
	// HeaderValue is the value of both when they are set.
	HeaderValue = "1"
)

// Status is what the health endpoint says.
type Status string

// The statuses of a back end. Only ready is answered with 200, others with 503.
const (
	StatusReady    Status = "ready"
	StatusStarting Status = "starting"
	StatusDraining Status = "draining"
	StatusFailing  Status = "failing"
)

// Health is the body of the health endpoint. An empty or unreadable body leaves
// the meaning to the status code: 200 is ready, any other is failing.
type Health struct {
	Status Status `json:"status"`
}

// Load is the body of the load endpoint.
type Load struct {
	// InFlight is how many requests run now.
	InFlight int `json:"in_flight"`
	// Slots is how many may run at once.
	Slots int `json:"slots"`
}

// Ratio returns the used share of the slots, or 0 when Slots is not positive.
func (l Load) Ratio() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.InFlight) / float64(l.Slots)
}

// Package report defines what a backend tells its sidecar: headers on its responses
// and the bodies of its health and load endpoints. Any of these may be late or wrong;
// package inbound defines how far each is trusted.
package report

// Headers that a backend sets on its responses.
const (
	// HeaderShed is "1" on a 503 response to a request that did not run.
	HeaderShed = "X-Shed"
	// HeaderDraining is "1" on every response of a backend that is draining.
	HeaderDraining = "X-Draining"
	// HeaderValue is the value of both headers when they are set.
	HeaderValue = "1"
)

// Status is the status that the health endpoint reports.
type Status string

// Statuses of a backend. Ready is reported with status code 200, the others with 503.
const (
	StatusReady    Status = "ready"
	StatusStarting Status = "starting"
	StatusDraining Status = "draining"
	StatusFailing  Status = "failing"
)

// Health is the body of the health endpoint. If the body is empty or unreadable, the
// status code decides: 200 means ready, any other code failing.
type Health struct {
	Status Status `json:"status"`
}

// Load is the body of the load endpoint.
type Load struct {
	// InFlight is how many requests are running.
	InFlight int `json:"in_flight"`
	// Slots is how many requests may run at the same time.
	Slots int `json:"slots"`
}

// Ratio returns the fraction of the slots in use, or 0 if Slots is not positive.
func (l Load) Ratio() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.InFlight) / float64(l.Slots)
}

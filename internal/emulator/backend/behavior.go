package backend

import (
	"sync"
	"time"
)

// Fault is a failure that the backend causes on a request.
type Fault string

// The faults. "Journal" states what the journal counts for the request.
const (
	FaultNone Fault = ""
	// FaultResetBeforeRead resets the connection before the body is read.
	// Journal: nothing.
	FaultResetBeforeRead Fault = "reset-before-read"
	// FaultResetAfterRead does the work and resets the connection instead of answering.
	// Journal: started, finished.
	FaultResetAfterRead Fault = "reset-after-read"
	// FaultResetMidAnswer sends half of the answer and resets the connection.
	FaultResetMidAnswer Fault = "reset-mid-answer"
	// FaultCloseMidAnswer sends half of the answer and closes the connection without a
	// reset.
	FaultCloseMidAnswer Fault = "close-mid-answer"
	// FaultWrongLength sends a Content-Length above the body's length and closes the
	// connection after the body.
	FaultWrongLength Fault = "wrong-length"
	// FaultStall does not answer, whatever the deadline, until the caller disconnects.
	// Journal: started, cancelled.
	FaultStall Fault = "stall"
	// FaultStallMidAnswer sends half of the answer and then nothing until the deadline
	// passes or the caller disconnects.
	FaultStallMidAnswer Fault = "stall-mid-answer"
)

// HealthMode selects what the health endpoint answers.
type HealthMode string

// The modes of the health endpoint.
const (
	HealthTrue     HealthMode = ""         // the true state as it was HealthLag ago
	HealthReady    HealthMode = "ready"    // always reports ready
	HealthFailing  HealthMode = "failing"  // always reports failing
	HealthDraining HealthMode = "draining" // always reports draining
	HealthStall    HealthMode = "stall"    // never answers
)

// Milliseconds is a duration in the JSON of the control API.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Behavior controls how the backend answers. With the zero value the reports are
// correct and there are no faults.
type Behavior struct {
	// WorkTime is the duration of the work for requests without HeaderWork.
	WorkTime Milliseconds `json:"work_time_ms"`
	// Shed makes the backend shed each request before it runs.
	Shed bool `json:"shed"`
	// Health and HealthLag control the health endpoint.
	Health    HealthMode   `json:"health"`
	HealthLag Milliseconds `json:"health_lag_ms"`
	// FalseLoad, if set, is the false ratio of requests in flight to slots that the load
	// endpoint reports. Otherwise it reports the true load as it was LoadLag ago.
	FalseLoad *float64     `json:"load_lie,omitempty"`
	LoadLag   Milliseconds `json:"load_lag_ms"`
	// Fault is caused on the next FaultCount requests without HeaderFault.
	Fault      Fault `json:"fault"`
	FaultCount int   `json:"fault_count"`
	// HideDraining omits report.HeaderDraining from the answers.
	HideDraining bool `json:"hide_draining"`
}

// Configure replaces the behavior and restarts the count of FaultCount.
func (b *Backend) Configure(behavior Behavior) {
	b.behavior.Store(&behavior)
	b.faults.set(behavior.Fault, behavior.FaultCount)
}

// Behavior returns the current behavior.
func (b *Backend) Behavior() Behavior { return *b.behavior.Load() }

// Drain starts the drain: the health endpoint and the answers announce it. The backend
// still serves requests and counts those that arrive more than DrainTolerance later.
func (b *Backend) Drain() { b.draining.CompareAndSwap(0, time.Now().UnixNano()) }

// EndDrain ends the drain.
func (b *Backend) EndDrain() { b.draining.Store(0) }

// DrainTolerance is how long after Drain new requests are still expected.
const DrainTolerance = 2 * time.Second

// drainedSince reports whether the drain began at least age ago.
func (b *Backend) drainedSince(age time.Duration) bool {
	since := b.draining.Load()
	return since != 0 && time.Since(time.Unix(0, since)) >= age
}

// pendingFaults holds a fault and the number of requests that it is still caused on.
type pendingFaults struct {
	mu        sync.Mutex
	fault     Fault
	remaining int
}

func (f *pendingFaults) set(fault Fault, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.remaining = fault, count
}

func (f *pendingFaults) next() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remaining <= 0 {
		return FaultNone
	}
	f.remaining--
	return f.fault
}

package backend

import (
	"sync"
	"time"
)

// Fault is a failure that the back end causes on a request.
type Fault string

// The faults. "Journal" tells what the journal shows afterwards.
const (
	FaultNone Fault = ""
	// FaultResetBeforeRead resets the connection before the body is read.
	// Journal: nothing.
	FaultResetBeforeRead Fault = "reset-before-read"
	// FaultResetAfterRead does the work and resets instead of answering.
	// Journal: started, finished.
	FaultResetAfterRead Fault = "reset-after-read"
	// FaultResetMidAnswer sends half of the answer and resets.
	FaultResetMidAnswer Fault = "reset-mid-answer"
	// FaultCloseMidAnswer sends half of the answer and closes in order.
	FaultCloseMidAnswer Fault = "close-mid-answer"
	// FaultWrongLength announces more bytes than it sends and closes.
	FaultWrongLength Fault = "wrong-length"
	// FaultStall never answers, whatever the deadline, until the caller goes.
	// Journal: started, cancelled.
	FaultStall Fault = "stall"
	// FaultStallMidAnswer sends half of the answer and nothing more.
	FaultStallMidAnswer Fault = "stall-mid-answer"
)

// HealthMode is how the health endpoint answers.
type HealthMode string

// The modes of the health endpoint.
const (
	HealthTrue     HealthMode = ""         // the true state, HealthLag old
	HealthReady    HealthMode = "ready"    // says ready whatever is true
	HealthFailing  HealthMode = "failing"  // says failing whatever is true
	HealthDraining HealthMode = "draining" // says draining whatever is true
	HealthStall    HealthMode = "stall"    // never answers
)

// Milliseconds is a span of time in a control message.
type Milliseconds int64

// Duration returns the span as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Behavior is how the back end acts from now on. The zero value is honest and
// without faults.
type Behavior struct {
	// WorkTime is the time of one request without HeaderWork.
	WorkTime Milliseconds `json:"work_time_ms"`
	// Shed refuses each request before it runs.
	Shed bool `json:"shed"`
	// Health and HealthLag steer the health endpoint.
	Health    HealthMode   `json:"health"`
	HealthLag Milliseconds `json:"health_lag_ms"`
	// LoadLie, when set, is the ratio that the load endpoint claims.
	LoadLie *float64     `json:"load_lie,omitempty"`
	LoadLag Milliseconds `json:"load_lag_ms"`
	// Fault is caused on the next FaultCount requests that name none.
	Fault      Fault `json:"fault"`
	FaultCount int   `json:"fault_count"`
	// HideDraining leaves HeaderDraining off the answers.
	HideDraining bool `json:"hide_draining"`
}

// Configure replaces the behavior, and with it the remaining FaultCount.
func (b *Backend) Configure(behavior Behavior) {
	b.behavior.Store(&behavior)
	b.faults.refill(behavior.Fault, behavior.FaultCount)
}

// Behavior returns the behavior in force.
func (b *Backend) Behavior() Behavior { return *b.behavior.Load() }

// Drain announces on health and answers that the back end is leaving. It goes on
// answering and counts the work it is given later than DrainTolerance.
func (b *Backend) Drain() { b.draining.CompareAndSwap(0, time.Now().UnixNano()) }

// EndDrain takes the announcement back.
func (b *Backend) EndDrain() { b.draining.Store(0) }

// DrainTolerance is how long after Drain new work may still arrive.
const DrainTolerance = 2 * time.Second

// drainedSince reports whether the drain was announced at least age ago.
func (b *Backend) drainedSince(age time.Duration) bool {
	since := b.draining.Load()
	return since != 0 && time.Since(time.Unix(0, since)) >= age
}

// faultBudget hands a configured fault to a bounded number of requests.
type faultBudget struct {
	mu    sync.Mutex
	fault Fault
	left  int
}

func (f *faultBudget) refill(fault Fault, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.left = fault, count
}

func (f *faultBudget) take() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left <= 0 {
		return FaultNone
	}
	f.left--
	return f.fault
}

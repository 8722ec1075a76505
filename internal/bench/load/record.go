package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of latency histograms, in microseconds.
const (
	minLatencyMicroseconds = 1
	maxLatencyMicroseconds = 120_000_000
	significantDigits      = 3
)

// Result is the outcome of one call.
type Result struct {
	Call  Call
	Class Class
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Reason says why a call was not answered: the reason from the proxies or the error.
	Reason string
	// Latency is the time from the intended send time to the end of the response.
	Latency time.Duration
	// Ended is when the call ended.
	Ended time.Time
}

// Record collects the results of a run.
type Record struct {
	lock     sync.Mutex
	classes  [classCount]int64
	skipped  int64
	reasons  map[string]int64
	latency  *hdrhistogram.Histogram
	results  []Result
	duration time.Duration
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		reasons: map[string]int64{},
		latency: hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, significantDigits),
	}
}

func (r *Record) add(result Result) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.classes[result.Class]++
	r.results = append(r.results, result)
	if result.Class != Answered && result.Class != Late {
		r.reasons[result.Class.String()+": "+result.Reason]++
		return
	}
	// Values outside the range are clamped: higher ones count as the longest latency.
	microseconds := min(max(result.Latency.Microseconds(), minLatencyMicroseconds), maxLatencyMicroseconds)
	_ = r.latency.RecordValue(microseconds) // cannot fail: the value is within the range
}

func (r *Record) skip() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.skipped++
}

func (r *Record) setDuration(duration time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.duration = duration
}

// Merge adds the results and the duration of another record, whose run must have
// ended.
func (r *Record) Merge(other *Record) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for class, count := range other.classes {
		r.classes[class] += count
	}
	for reason, count := range other.reasons {
		r.reasons[reason] += count
	}
	r.latency.Merge(other.latency)
	r.results = append(r.results, other.results...)
	r.skipped += other.skipped
	r.duration += other.duration
}

// Results returns all results in the order in which the calls ended. It must not be
// called while Run is in progress.
func (r *Record) Results() []Result { return r.results }

// Count returns how many calls ended in a class.
func (r *Record) Count(class Class) int64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.classes[class]
}

// Latencies are quantiles of the latency of answered calls, in milliseconds from the
// intended send time.
type Latencies struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Summary is the result of one run for reports.
type Summary struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	Late     int64 `json:"late"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	Cut      int64 `json:"cut"`
	Rejected int64 `json:"rejected"`
	Wrong    int64 `json:"wrong"`
	// Skipped calls were never sent because Options.MaxInFlight was reached.
	Skipped int64 `json:"skipped"`
	// Goodput is the number of answered calls per second of the run, without late ones.
	Goodput   float64          `json:"goodput_per_second"`
	LatencyMS Latencies        `json:"latency_ms"`
	Reasons   map[string]int64 `json:"reasons,omitempty"`
}

// Summary returns the counts and latency quantiles so far.
func (r *Record) Summary() Summary {
	r.lock.Lock()
	defer r.lock.Unlock()
	summary := Summary{
		Answered: r.classes[Answered], Late: r.classes[Late],
		NotRun: r.classes[NotRun], Unknown: r.classes[Unknown],
		Cut: r.classes[Cut], Rejected: r.classes[Rejected],
		Wrong: r.classes[Wrong], Skipped: r.skipped,
		LatencyMS: Latencies{
			P50: r.quantile(50), P90: r.quantile(90), P99: r.quantile(99),
			Max: milliseconds(r.latency.Max()),
		},
		Reasons: make(map[string]int64, len(r.reasons)),
	}
	for _, count := range r.classes {
		summary.Sent += count
	}
	for reason, count := range r.reasons {
		summary.Reasons[reason] = count
	}
	if r.duration > 0 {
		summary.Goodput = float64(summary.Answered) / r.duration.Seconds()
	}
	return summary
}

func (r *Record) quantile(percent float64) float64 {
	return milliseconds(r.latency.ValueAtQuantile(percent))
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

package backend

import (
	"context"
	"sort"
	"sync"
)

// Runs counts the executions of one request number or idempotency key.
type Runs struct {
	// Started counts executions that began; a shed request does not begin.
	Started int `json:"started"`
	// Finished counts executions whose work was completed, whether or not the
	// answer reached the caller.
	Finished int `json:"finished"`
	// Cancelled counts executions that ended early because the caller disconnected.
	Cancelled int `json:"cancelled"`
	// Expired counts executions that ended early because their deadline passed.
	Expired int `json:"expired"`
}

// JournalRecord is a copy of the journal that can be encoded as JSON.
type JournalRecord struct {
	Total    Runs            `json:"total"`
	Requests map[string]Runs `json:"requests"`
	Keys     map[string]Runs `json:"keys"`
}

// Journal counts executions by request number and by idempotency key. The counts
// are exact. It is safe for concurrent use.
type Journal struct {
	mu       sync.Mutex
	total    Runs
	requests map[string]*Runs
	keys     map[string]*Runs
	// changed is closed at the next change; nil while no goroutine waits for one.
	changed chan struct{}
}

func newJournal() *Journal {
	return &Journal{requests: map[string]*Runs{}, keys: map[string]*Runs{}}
}

// executionID holds the request number and the idempotency key of an execution, either
// of which may be empty.
type executionID struct{ request, key string }

func (j *Journal) update(run executionID, change func(*Runs)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.total)
	if run.request != "" {
		change(runsOf(j.requests, run.request))
	}
	if run.key != "" {
		change(runsOf(j.keys, run.key))
	}
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}

// AwaitStarted waits until at least count executions have begun. It returns the error
// of ctx if ctx ends first.
func (j *Journal) AwaitStarted(ctx context.Context, count int) error {
	for {
		started, changed := j.startedCount()
		if started >= count {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startedCount returns the number of executions that have begun, and a channel that is
// closed at the next change.
func (j *Journal) startedCount() (started int, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.changed == nil {
		j.changed = make(chan struct{})
	}
	return j.total.Started, j.changed
}

func runsOf(runsByName map[string]*Runs, name string) *Runs {
	runs, ok := runsByName[name]
	if !ok {
		runs = &Runs{}
		runsByName[name] = runs
	}
	return runs
}

func (j *Journal) started(run executionID)   { j.update(run, func(r *Runs) { r.Started++ }) }
func (j *Journal) finished(run executionID)  { j.update(run, func(r *Runs) { r.Finished++ }) }
func (j *Journal) cancelled(run executionID) { j.update(run, func(r *Runs) { r.Cancelled++ }) }
func (j *Journal) expired(run executionID)   { j.update(run, func(r *Runs) { r.Expired++ }) }

// Total returns the counts over all executions.
func (j *Journal) Total() Runs {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total
}

// Request returns the counts of one request number (HeaderRequest).
func (j *Journal) Request(number string) Runs {
	j.mu.Lock()
	defer j.mu.Unlock()
	if runs, ok := j.requests[number]; ok {
		return *runs
	}
	return Runs{}
}

// Key returns the counts of one Idempotency-Key.
func (j *Journal) Key(key string) Runs {
	j.mu.Lock()
	defer j.mu.Unlock()
	if runs, ok := j.keys[key]; ok {
		return *runs
	}
	return Runs{}
}

// RepeatedRequests returns, sorted, the numbers of the requests that were started more than
// once.
func (j *Journal) RepeatedRequests() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var doubled []string
	for number, runs := range j.requests {
		if runs.Started > 1 {
			doubled = append(doubled, number)
		}
	}
	sort.Strings(doubled)
	return doubled
}

// Record returns a copy of the journal.
func (j *Journal) Record() JournalRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return JournalRecord{Total: j.total, Requests: copyRuns(j.requests), Keys: copyRuns(j.keys)}
}

func copyRuns(runsByName map[string]*Runs) map[string]Runs {
	copied := make(map[string]Runs, len(runsByName))
	for name, runs := range runsByName {
		copied[name] = *runs
	}
	return copied
}

// Reset clears the journal.
func (j *Journal) Reset() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total = Runs{}
	j.requests = map[string]*Runs{}
	j.keys = map[string]*Runs{}
}

package backend

import (
	"context"
	"sort"
	"sync"
)

// Runs counts the executions of one request number or idempotency key.
type Runs struct {
	// Started counts executions that began; a shed request never begins.
	Started int `json:"started"`
	// Finished counts executions whose work was done, whether or not the
	// answer arrived.
	Finished int `json:"finished"`
	// Cancelled counts executions that stopped because the caller went away.
	Cancelled int `json:"cancelled"`
	// Expired counts executions that stopped because their time was over.
	Expired int `json:"expired"`
}

// JournalRecord is the whole journal in a form that can be sent.
type JournalRecord struct {
	Total    Runs            `json:"total"`
	Requests map[string]Runs `json:"requests"`
	Keys     map[string]Runs `json:"keys"`
}

// Journal records each execution by request number and by idempotency key. Its
// counts are exact and its methods may be called from any goroutine.
type Journal struct {
	mu       sync.Mutex
	total    Runs
	requests map[string]*Runs
	keys     map[string]*Runs
	// changed is closed at the next change; nil while nobody waits for one.
	changed chan struct{}
}

func newJournal() *Journal {
	return &Journal{requests: map[string]*Runs{}, keys: map[string]*Runs{}}
}

// execution names one run in the journal.
type execution struct{ request, key string }

func (j *Journal) update(run execution, change func(*Runs)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.total)
	if run.request != "" {
		change(entry(j.requests, run.request))
	}
	if run.key != "" {
		change(entry(j.keys, run.key))
	}
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}

// AwaitStarted returns once at least count executions began, or when ctx ends
// with its error.
func (j *Journal) AwaitStarted(ctx context.Context, count int) error {
	for {
		started, changed := j.startedOrChange()
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

// startedOrChange returns how many executions began, and a channel that is closed
// at the next change.
func (j *Journal) startedOrChange() (started int, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.changed == nil {
		j.changed = make(chan struct{})
	}
	return j.total.Started, j.changed
}

func entry(table map[string]*Runs, name string) *Runs {
	runs, ok := table[name]
	if !ok {
		runs = &Runs{}
		table[name] = runs
	}
	return runs
}

func (j *Journal) started(run execution)   { j.update(run, func(r *Runs) { r.Started++ }) }
func (j *Journal) finished(run execution)  { j.update(run, func(r *Runs) { r.Finished++ }) }
func (j *Journal) cancelled(run execution) { j.update(run, func(r *Runs) { r.Cancelled++ }) }
func (j *Journal) expired(run execution)   { j.update(run, func(r *Runs) { r.Expired++ }) }

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

// Doubled returns, sorted, the request numbers that began more than once.
func (j *Journal) Doubled() []string {
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

func copyRuns(table map[string]*Runs) map[string]Runs {
	copied := make(map[string]Runs, len(table))
	for name, runs := range table {
		copied[name] = *runs
	}
	return copied
}

// Reset forgets everything.
func (j *Journal) Reset() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total = Runs{}
	j.requests = map[string]*Runs{}
	j.keys = map[string]*Runs{}
}

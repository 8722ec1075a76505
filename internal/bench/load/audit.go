package load

import "github.com/winchhead/winchhead/internal/emulator/backend"

// Journal tells what all back ends together ran for an ID.
type Journal func(id string) backend.Runs

// MergeJournals returns a Journal over the records of several back ends.
func MergeJournals(records ...backend.JournalRecord) Journal {
	merged := map[string]backend.Runs{}
	for _, record := range records {
		for id, runs := range record.Requests {
			merged[id] = add(merged[id], runs)
		}
	}
	return func(id string) backend.Runs { return merged[id] }
}

func add(a, b backend.Runs) backend.Runs {
	return backend.Runs{
		Started:   a.Started + b.Started,
		Finished:  a.Finished + b.Finished,
		Cancelled: a.Cancelled + b.Cancelled,
		Expired:   a.Expired + b.Expired,
	}
}

// Audit compares what callers were told with what ran. Each list names the calls
// that broke a promise; all empty is the only good result.
type Audit struct {
	// Doubled calls may not be repeated and ran more than once.
	Doubled []string `json:"doubled"`
	// Lost calls were answered as done and are in no journal as finished.
	Lost []string `json:"lost"`
	// RanThoughRefused calls were refused as not run and ran.
	RanThoughRefused []string `json:"ran_though_refused"`
	// Wrong calls got an answer that looked whole and was not theirs.
	Wrong []string `json:"wrong"`
}

// Kept reports whether no promise was broken.
func (a Audit) Kept() bool {
	return len(a.Doubled)+len(a.Lost)+len(a.RanThoughRefused)+len(a.Wrong) == 0
}

// Check audits the results of a run against the journals. It must be called when
// no call is in progress any more.
func Check(results []Result, journal Journal) Audit {
	var audit Audit
	for _, result := range results {
		audit.check(result, journal)
	}
	return audit
}

func (a *Audit) check(result Result, journal Journal) {
	call := result.Call
	if !call.MayRepeat && doubled(call, journal) {
		a.Doubled = append(a.Doubled, call.ID)
	}
	switch result.Class {
	case Answered, Late:
		if journal(call.ID).Finished == 0 {
			a.Lost = append(a.Lost, call.ID)
		}
	case NotRun:
		if journal(call.ID).Started > 0 {
			a.RanThoughRefused = append(a.RanThoughRefused, call.ID)
		}
	case Wrong:
		a.Wrong = append(a.Wrong, call.ID)
	}
}

func doubled(call Call, journal Journal) bool {
	for _, id := range call.ChainIDs() {
		if journal(id).Started > 1 {
			return true
		}
	}
	return false
}

package load

import "github.com/winchhead/winchhead/internal/emulator/backend"

// Journal returns how often all backends together ran the request with an ID.
type Journal func(id string) backend.Runs

// MergeJournals returns a Journal over the records of several backends.
func MergeJournals(records ...backend.JournalRecord) Journal {
	merged := map[string]backend.Runs{}
	for _, record := range records {
		for id, runs := range record.Requests {
			merged[id] = sumRuns(merged[id], runs)
		}
	}
	return func(id string) backend.Runs { return merged[id] }
}

func sumRuns(a, b backend.Runs) backend.Runs {
	return backend.Runs{
		Started:   a.Started + b.Started,
		Finished:  a.Finished + b.Finished,
		Cancelled: a.Cancelled + b.Cancelled,
		Expired:   a.Expired + b.Expired,
	}
}

// Audit compares the outcomes that callers got with what the backends ran. Each list
// holds the IDs of the calls that violated a guarantee; all are empty if none was.
type Audit struct {
	// Doubled calls must not be repeated but ran more than once.
	Doubled []string `json:"doubled"`
	// Lost calls were answered successfully, but no journal records them as finished.
	Lost []string `json:"lost"`
	// RanThoughRefused calls were refused as not run, but ran.
	RanThoughRefused []string `json:"ran_though_refused"`
	// Wrong calls got a response that looked complete but was not the expected one.
	Wrong []string `json:"wrong"`
}

// Passed reports whether all guarantees were kept.
func (a Audit) Passed() bool {
	return len(a.Doubled)+len(a.Lost)+len(a.RanThoughRefused)+len(a.Wrong) == 0
}

// Check audits the results of a run against the journals. It must be called only
// after all calls have ended.
func Check(results []Result, journal Journal) Audit {
	var audit Audit
	for _, result := range results {
		audit.check(result, journal)
	}
	return audit
}

func (a *Audit) check(result Result, journal Journal) {
	call := result.Call
	if !call.MayRepeat && ranTwice(call, journal) {
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

func ranTwice(call Call, journal Journal) bool {
	for _, id := range call.ChainIDs() {
		if journal(id).Started > 1 {
			return true
		}
	}
	return false
}

package statement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxRecords limits the processes that are kept.
const maxRecords = 10_000

// Tracker holds the records of all processes of instances whose answers passed this node. It is safe for
// concurrent use.
type Tracker struct {
	// count is the number of records: while there is none, answers that state nothing take no lock.
	count atomic.Int64

	// leaving holds the processes that leave. The map is replaced, never changed; nil: none.
	leaving atomic.Pointer[map[snapshot.InstanceID]struct{}]

	mutex   sync.RWMutex
	records map[snapshot.InstanceID]*Record
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[snapshot.InstanceID]*Record)}
}

// Observe adds the statement of an answer of a process, see Record.Observe.
func (t *Tracker) Observe(process snapshot.InstanceID, stated Statement, sent, received time.Time) Change {
	if t.count.Load() == 0 && stated.IsEmpty() {
		return Change{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record := t.records[process]
	if record == nil {
		if stated.IsEmpty() || stated.MalformedLimit && !stated.Leaving || len(t.records) >= maxRecords {
			return Change{}
		}
		record = &Record{listedAt: received}
		t.records[process] = record
		t.count.Store(int64(len(t.records)))
	}
	change := record.Observe(stated, sent, received)
	if change.Leaving {
		t.collectLeaving()
	}
	return change
}

// CountRefusal counts a request that this node refused because of the limit of a process.
func (t *Tracker) CountRefusal(process snapshot.InstanceID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if record := t.records[process]; record != nil {
		record.refused++
	}
}

// collectLeaving updates leaving. The caller must hold the mutex.
func (t *Tracker) collectLeaving() {
	var found map[snapshot.InstanceID]struct{}
	for process, record := range t.records {
		if !record.IsLeaving() {
			continue
		}
		if found == nil {
			found = make(map[snapshot.InstanceID]struct{})
		}
		found[process] = struct{}{}
	}
	if found == nil {
		t.leaving.Store(nil)
		return
	}
	t.leaving.Store(&found)
}

// Leaving returns the processes that leave. The caller must not change the map.
func (t *Tracker) Leaving() map[snapshot.InstanceID]struct{} {
	if found := t.leaving.Load(); found != nil {
		return *found
	}
	return nil
}

// IsLeaving reports whether a process has stated that it leaves.
func (t *Tracker) IsLeaving(process snapshot.InstanceID) bool {
	_, found := t.Leaving()[process]
	return found
}

// Get returns the record of a process, which is empty if it has stated nothing.
func (t *Tracker) Get(process snapshot.InstanceID) Record {
	if t.count.Load() == 0 {
		return Record{}
	}
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	if record := t.records[process]; record != nil {
		return *record
	}
	return Record{}
}

// Entry is a record with its process.
type Entry struct {
	Process snapshot.InstanceID
	Record  Record
}

// Entries returns the records that are not empty, in no particular order.
func (t *Tracker) Entries() []Entry {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	var found []Entry
	for process, record := range t.records {
		if !record.isEmpty() {
			found = append(found, Entry{process, *record})
		}
	}
	return found
}

// unlistedTTL is how long a record is kept of a process that is not listed: it may be listed again, as
// its lease may have expired although it runs.
const unlistedTTL = time.Minute

// Prune removes the records of processes that have not been listed for unlistedTTL.
func (t *Tracker) Prune(isListed func(snapshot.InstanceID) bool, now time.Time) {
	if t.count.Load() == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for process, record := range t.records {
		switch {
		case isListed(process):
			record.listedAt = now
		case now.Sub(record.listedAt) > unlistedTTL:
			delete(t.records, process)
		}
	}
	t.collectLeaving()
	t.count.Store(int64(len(t.records)))
}

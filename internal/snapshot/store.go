package snapshot

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Adoption is the outcome of offering a snapshot to a Store.
type Adoption uint8

// The outcomes of Store.Adopt.
const (
	// Adopted means that the snapshot is now in force.
	Adopted Adoption = 1
	// Unchanged means that the version in force has the same routes.
	Unchanged Adoption = 2
	// RefusedOlder means that a newer revision is in force.
	RefusedOlder Adoption = 3
	// RefusedConflict means that the same revision is in force with other content.
	RefusedConflict Adoption = 4
)

// String describes the outcome.
func (a Adoption) String() string {
	switch a {
	case Adopted:
		return "adopted"
	case Unchanged:
		return "unchanged"
	case RefusedOlder:
		return "refused: older than the version in force"
	case RefusedConflict:
		return "refused: same revision with other content"
	default:
		return "refused"
	}
}

// Store holds the snapshot in force. Its high-water mark only rises, so that an older version never
// replaces a newer one. The zero value is empty and ready for use; a Store must not be copied.
type Store struct {
	current    atomic.Pointer[Snapshot]
	adoptMutex sync.Mutex
}

// Current returns the snapshot in force, or nil if there is none yet. It is a single atomic load.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// HighWater returns the newest version that was ever in force, or the zero Version.
func (s *Store) HighWater() Version {
	current := s.current.Load()
	if current == nil {
		return Version{}
	}
	return current.version
}

// Adopt atomically puts next in force if it is consistent and not below the high-water mark. The
// same version with other routes, as after a change of the fleet, is put in force with a higher
// generation. An error means that next is nil or not consistent.
func (s *Store) Adopt(next *Snapshot) (Adoption, error) {
	if next == nil {
		return 0, eris.New("the snapshot is nil")
	}
	if err := next.CheckConsistency(); err != nil {
		return 0, eris.Wrapf(err, "snapshot %s is not consistent", next.version)
	}
	s.adoptMutex.Lock()
	defer s.adoptMutex.Unlock()
	current := s.current.Load()
	if refused, ok := decideAdoption(current, next); !ok {
		return refused, nil
	}
	adopted := *next
	adopted.generation = 1
	if current != nil {
		adopted.generation = current.generation + 1
	}
	s.current.Store(&adopted)
	return Adopted, nil
}

// AdoptFleet puts a snapshot in force that differs from the current one only in instances and
// evacuations. It returns false if another version is in force.
func (s *Store) AdoptFleet(next *Snapshot) bool {
	s.adoptMutex.Lock()
	defer s.adoptMutex.Unlock()
	current := s.current.Load()
	if current == nil || current.version != next.version {
		return false
	}
	adopted := *next
	adopted.generation = current.generation + 1
	s.current.Store(&adopted)
	return true
}

// decideAdoption reports whether next may replace current, and the outcome.
func decideAdoption(current, next *Snapshot) (Adoption, bool) {
	switch {
	case current == nil, next.version.Newer(current.version):
		return Adopted, true
	case next.version.Conflicts(current.version):
		return RefusedConflict, false
	case current.version.Newer(next.version):
		return RefusedOlder, false
	case current.SameRoutes(next):
		return Unchanged, false
	default:
		return Adopted, true
	}
}

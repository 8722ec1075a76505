package snapshot

import (
	"maps"
	"slices"
)

// SecretNames returns the names of the snapshot's secrets, sorted.
func (s *Snapshot) SecretNames() []string { return slices.Sorted(maps.Keys(s.secrets)) }

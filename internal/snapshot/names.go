package snapshot

import (
	"maps"
	"slices"
)

// SecretNames returns the names of the secrets that the snapshot holds, sorted.
func (s *Snapshot) SecretNames() []string { return slices.Sorted(maps.Keys(s.secrets)) }

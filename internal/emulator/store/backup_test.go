package store

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A backup that is older than the previous restore can hold another value of a key at the same
// revision. If Keys compared only revisions, the lost value would count as kept, would not be
// written again, and the fleet would stay at an older configuration.
func TestLostKeysAfterTwoRestores(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.SetEra(1)
	s.Put("op/config", []byte("1"))
	first := s.Backup()
	s.Put("op/config", []byte("2"))
	second := s.Backup()
	s.Restore(first)
	s.Put("op/config", []byte("3"))
	lost := s.Restore(second)
	c.Assert(lost.Keys(), qt.DeepEquals, []string{"op/config"})
	s.RestoreLost(lost, "op/config")
	c.Check(string(s.Backup().items["op/config"].Value), qt.Equals, "3")
}

package store

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// HeaderEra is the response header with the store's era, which rises by one each time the store
// is restored from a backup.
const HeaderEra = "Store-Era"

// Backup is a copy of the content of a store at a revision.
type Backup struct {
	items    map[string]Item
	revision uint64
}

// Backup returns a backup of the current content.
func (s *Store) Backup() Backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Backup{items: maps.Clone(s.items), revision: s.revision}
}

// SetEra sets the era that responses carry from now on; zero: they carry none.
func (s *Store) SetEra(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = era
}

// LostWrites describes the writes that a restore has lost.
type LostWrites struct {
	// before is the whole content before the restore; restored is the backup that replaced it.
	before   map[string]Item
	restored Backup
}

// Era returns the era that responses carry; zero: they carry none.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Restore replaces the content by that of a backup, at the backup's revision and without a
// history. Later writes use the revisions above it a second time. If an era is set, it rises by
// one.
func (s *Store) Restore(backup Backup) LostWrites {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := LostWrites{before: s.items, restored: backup}
	s.items, s.revision = maps.Clone(backup.items), backup.revision
	s.history, s.compactedRevision = nil, backup.revision
	if s.era > 0 {
		s.era++
	}
	s.notifyWatchers()
	return lost
}

// Keys returns the keys whose last write is lost, sorted. It compares values as well as
// revisions: a backup may be older than an earlier restore, after which revisions were used a
// second time.
func (l LostWrites) Keys() (keys []string) {
	for key, item := range l.before {
		if copied := l.restored.items[key]; copied.Revision != item.Revision || !bytes.Equal(copied.Value, item.Value) {
			keys = append(keys, key)
		}
	}
	for key := range l.restored.items {
		if _, listed := l.before[key]; !listed {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// RestoreLost writes the value that a key had before the restore, or deletes the key if it had
// none, unless the key has been written since.
func (s *Store) RestoreLost(lost LostWrites, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.ContainsFunc(s.history, func(change Item) bool { return change.Key == key }) {
		return
	}
	if item, listed := lost.before[key]; listed {
		s.put(key, item.Value)
	} else {
		s.remove(key)
	}
}

// setEraHeader sets the era header of a response, unless the era is zero.
func setEraHeader(w http.ResponseWriter, era uint64) {
	if era > 0 {
		w.Header().Set(HeaderEra, strconv.FormatUint(era, 10))
	}
}

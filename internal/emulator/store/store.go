// Package store emulates the metadata store of the users' platform: keys with a
// common revision counter, range reads, watches over a history that can be
// compacted, and faults. Only tests and benchmarks use it; product packages never
// import it.
package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Item is one key with its value, or the deletion of a key, as on the wire.
type Item struct {
	Key            string `json:"privateKey"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"made,omitempty"`
	Lease          uint64 `json:"lease"`
	Deleted        bool   `json:"gone,omitempty"`
}

// Fault is a failure that the store causes on a request.
type Fault uint8

// The faults of a request.
const (
	// NoFault answers properly.
	NoFault Fault = 0
	// Busy answers 503 without doing anything.
	Busy Fault = 1
	// Throttled answers 429.
	Throttled Fault = 2
	// Silent never answers; the connection stays open until the client gives up.
	Silent Fault = 3
	// Reset closes the connection without an answer.
	Reset Fault = 4
	// Garbage answers with a body that is not JSON.
	Garbage Fault = 5
	// Cut closes the connection in the middle of a response of at least minCutBytes, and sends
	// shorter ones whole.
	Cut Fault = 6
)

// Store is an emulated store. It is an http.Handler and safe for concurrent use.
type Store struct {
	router chi.Router

	mutex             sync.Mutex
	items             map[string]Item
	history           []Item
	compactedRevision uint64 // history starts after this revision
	revision          uint64
	era               uint64 // zero: responses carry none
	pageSize          int
	changed           chan struct{}
	fault             func(r *http.Request) Fault
	rate              int64 // of responses, in bytes a second; zero: unlimited
	calls             map[string]int
}

// defaultPageSize is the maximum number of items in the response to a range read.
const defaultPageSize = 500

// New returns an empty store.
func New() *Store {
	created := &Store{
		router: chi.NewRouter(), items: make(map[string]Item), pageSize: defaultPageSize,
		changed: make(chan struct{}), calls: make(map[string]int),
	}
	created.router.Get("/v1/kv-range", created.serveRange)
	created.router.Get("/v1/kv-watch", created.serveWatch)
	return created
}

// ServeHTTP answers a request, or causes the fault that SetFault's function returns for it.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls[r.URL.Path]++
	fault := s.fault
	setEraHeader(w, s.era)
	w = LimitRate(w, r.Context(), s.rate)
	s.mutex.Unlock()
	if fault == nil {
		s.router.ServeHTTP(w, r)
		return
	}
	switch fault(r) {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Throttled:
		w.Header().Set("Retry-After", "0.05")
		w.WriteHeader(http.StatusTooManyRequests)
	case Silent:
		<-r.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	case Garbage:
		_, _ = w.Write([]byte("<html>"))
	case Cut:
		s.router.ServeHTTP(&truncatingWriter{ResponseWriter: w}, r)
	default:
		s.router.ServeHTTP(w, r)
	}
}

// SetFault sets the function that returns the fault for each request from now on; nil: no
// faults.
func (s *Store) SetFault(fault func(r *http.Request) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetRate limits the rate of each response, in bytes a second; zero: unlimited.
func (s *Store) SetRate(rate int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rate = rate
}

// SetPageSize sets the maximum number of items in the response to a range read.
func (s *Store) SetPageSize(items int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pageSize = items
}

// Calls returns the number of requests to a path.
func (s *Store) Calls(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[path]
}

// Put writes a key and returns the revision of the write.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.put(key, value)
}

// put is Put for callers that hold the mutex.
func (s *Store) put(key string, value []byte) uint64 {
	s.revision++
	created := s.items[key].CreateRevision
	if created == 0 {
		created = s.revision
	}
	item := Item{Key: key, Value: value, Revision: s.revision, CreateRevision: created}
	s.items[key] = item
	s.appendHistory(item)
	return s.revision
}

// PutJSON writes a value encoded as JSON. It panics if the value cannot be encoded.
func (s *Store) PutJSON(key string, value any) uint64 {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value cannot be encoded as JSON
	}
	return s.Put(key, body)
}

// Delete deletes a key and returns the revision of the deletion.
func (s *Store) Delete(key string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.remove(key)
}

// remove is Delete for callers that hold the mutex.
func (s *Store) remove(key string) uint64 {
	s.revision++
	delete(s.items, key)
	s.appendHistory(Item{Key: key, Revision: s.revision, Deleted: true})
	return s.revision
}

// Compact discards the history. Watches from an earlier revision are then answered 410.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// appendHistory adds a change to the history and wakes the watches. The mutex is held.
func (s *Store) appendHistory(item Item) {
	s.history = append(s.history, item)
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type rangeResponse struct {
	Items []Item `json:"items"`
	More  bool   `json:"more"`
	At    uint64 `json:"at"`
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	answer := rangeResponse{Items: []Item{}, At: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			answer.Items = append(answer.Items, item)
		}
	}
	size := s.pageSize
	setEraHeader(w, s.era)
	s.mutex.Unlock()
	slices.SortFunc(answer.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Items) > size {
		answer.Items, answer.More = answer.Items[:size], true
	}
	writeJSON(w, answer)
}

type watchResponse struct {
	Events []Item `json:"events"`
	At     uint64 `json:"at"`
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		http.Error(w, "waitMs is not a number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, compacted, changed := s.changesAfter(w, query.Get("pathPrefix"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, watchResponse{Events: events, At: at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, watchResponse{Events: []Item{}, At: at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes after a revision and sets the era header of the response.
// compacted reports that the history does not cover the revision; changed is closed at the next
// change.
func (s *Store) changesAfter(w http.ResponseWriter, prefix string, after uint64) (events []Item, at uint64, compacted bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	setEraHeader(w, s.era)
	if after < s.compactedRevision || after > s.revision {
		return nil, 0, true, nil
	}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, false, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only when the client has gone
}

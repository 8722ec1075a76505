package snapshot_test

import (
	"fmt"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// failer is the common interface of standard tests and rapid tests.
type failer interface {
	Helper()
	Fatalf(format string, arguments ...any)
}

func noError(t failer, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

func equal[T comparable](t failer, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// drawDocument returns a document with a few possible resources, so that documents of one revision
// are sometimes equal and sometimes in conflict.
func drawDocument(t *rapid.T) *snapshot.Document {
	content := snapshot.Content{Revision: snapshot.Revision(rapid.IntRange(1, 6).Draw(t, "revision"))}
	for _, name := range []string{"a", "b", "c"} {
		if slots := rapid.IntRange(0, 2).Draw(t, "slots of "+name); slots > 0 {
			content.Services = append(content.Services, snapshot.Service{Name: name, Slots: slots})
		}
		if value := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "secret of "+name); value != "" {
			content.Secrets = append(content.Secrets, snapshot.Secret{Name: name, Value: value})
		}
	}
	document, err := snapshot.NewDocument(content)
	noError(t, err)
	return document
}

// compile returns a snapshot with one route per service, each with all secrets.
func compile(t failer, document *snapshot.Document) *snapshot.Snapshot {
	content := document.Content()
	var routes []snapshot.Route
	for _, service := range content.Services {
		route := snapshot.Route{
			Name: service.Name, Timeout: time.Second, MaxAttempts: 1,
			Targets: []snapshot.WeightedService{{Service: service.Name, Weight: 1}},
		}
		for _, secret := range content.Secrets {
			route.Secrets = append(route.Secrets, snapshot.SecretHeader{Header: "X-" + secret.Name, Secret: secret.Name})
		}
		routes = append(routes, route)
	}
	built, err := snapshot.New(document.Version(), routes, content.Services, content.Secrets)
	noError(t, err)
	return built
}

// TestNoVersionGoesBack delivers deltas of arbitrary documents to a node in arbitrary order: from
// peers with the same base, from outdated peers with another base, whole documents of a stale source,
// duplicates, incomplete deltas, and deltas with the hash of another version.
func TestNoVersionGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := rapid.SliceOfN(rapid.Custom(drawDocument), 2, 6).Draw(t, "published")
		pick := func(label string) *snapshot.Document { return rapid.SampledFrom(published).Draw(t, label) }
		var store snapshot.Store
		var held *snapshot.Document
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			delta := snapshot.Diff(drawBase(t, held, pick), pick("target"))
			corrupt(t, &delta, pick)
			received, err := delta.Apply(held)
			if err != nil {
				continue
			}
			before := store.HighWater()
			adoption, err := store.Adopt(compile(t, received))
			noError(t, err)
			checkAdoption(t, adoption, before, received.Version(), store.HighWater())
			if adoption == snapshot.Adopted {
				held = received
			}
			checkHeld(t, published, held, store.Current())
		}
	})
}

func drawBase(t *rapid.T, held *snapshot.Document, pick func(string) *snapshot.Document) *snapshot.Document {
	switch rapid.IntRange(0, 2).Draw(t, "sender") {
	case 0:
		return nil
	case 1:
		return held
	default:
		return pick("base")
	}
}

// corrupt occasionally removes a part of a delta or changes its target version.
func corrupt(t *rapid.T, delta *snapshot.Delta, pick func(string) *snapshot.Document) {
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		if len(delta.Changed) > 0 {
			delta.Changed = delta.Changed[1:]
		}
	case 1:
		delta.Removed = nil
	case 2:
		delta.Target.Hash = pick("claimed").Version().Hash
	}
}

func checkAdoption(t *rapid.T, adoption snapshot.Adoption, before, offered, after snapshot.Version) {
	expected := snapshot.Adopted
	switch {
	case offered == before:
		expected = snapshot.Unchanged
	case offered.Conflicts(before):
		expected = snapshot.RefusedConflict
	case before.Newer(offered):
		expected = snapshot.RefusedOlder
	}
	equal(t, adoption, expected)
	if adoption == snapshot.Adopted {
		equal(t, after, offered)
	} else {
		equal(t, after, before)
	}
}

// checkHeld checks that a node holds a complete published document and that every route refers only
// to services and secrets that it holds.
func checkHeld(t *rapid.T, published []*snapshot.Document, held *snapshot.Document, current *snapshot.Snapshot) {
	if held == nil {
		equal(t, current, nil)
		return
	}
	equal(t, current.Version(), held.Version())
	noError(t, current.CheckConsistency())
	same := slices.IndexFunc(published, func(document *snapshot.Document) bool {
		return document.Version().Hash == held.Version().Hash
	})
	equal(t, same >= 0, true)
	original := published[same].Content()
	original.Revision = held.Version().Revision
	equal(t, reflect.DeepEqual(held.Content(), original), true)
	for _, route := range current.Routes() {
		for _, target := range route.Targets {
			service, found := current.Service(target.Service)
			equal(t, found && slices.Contains(original.Services, service), true)
		}
		for _, attached := range route.Secrets {
			secret, found := current.Secret(attached.Secret)
			equal(t, found && slices.Contains(original.Secrets, secret), true)
		}
	}
}

func TestStoreUnderConcurrentAdoption(t *testing.T) {
	const revisions = 50
	var store snapshot.Store
	var writers, readers sync.WaitGroup
	done := make(chan struct{})
	faults := make(chan string, 4*revisions+2)
	for range 2 {
		readers.Go(func() {
			var last snapshot.Version
			for finished := false; !finished; {
				select {
				case <-done:
					finished = true
				default:
				}
				if seen := store.HighWater(); last.Newer(seen) {
					faults <- fmt.Sprintf("%s after %s", seen, last)
					return
				} else {
					last = seen
				}
			}
		})
	}
	for writer := range 4 {
		writers.Go(func() {
			for i := range revisions {
				revision := snapshot.Revision(1 + (i*7+writer*13)%revisions)
				built, err := snapshot.New(snapshot.Version{Revision: revision}, nil, nil, nil)
				if err == nil {
					_, err = store.Adopt(built)
				}
				if err != nil {
					faults <- err.Error()
				}
			}
		})
	}
	writers.Wait()
	close(done)
	readers.Wait()
	close(faults)
	for fault := range faults {
		t.Error(fault)
	}
	qt.Assert(t, store.HighWater().Revision, qt.Equals, snapshot.Revision(revisions))
}

func TestFleetChangeRaisesGeneration(t *testing.T) {
	c := qt.New(t)
	var store snapshot.Store
	for _, step := range []struct {
		routes     []snapshot.Route
		adoption   snapshot.Adoption
		generation uint64
	}{
		{[]snapshot.Route{route("r", snapshot.Match{})}, snapshot.Adopted, 1},
		{[]snapshot.Route{route("r", snapshot.Match{})}, snapshot.Unchanged, 1},
		{[]snapshot.Route{route("r", snapshot.Match{PathPrefix: "/x"})}, snapshot.Adopted, 2},
	} {
		adoption, err := store.Adopt(newSnapshot(c, step.routes...))
		c.Assert(err, qt.IsNil)
		c.Assert(adoption, qt.Equals, step.adoption)
		c.Assert(store.Current().Generation(), qt.Equals, step.generation)
	}
}

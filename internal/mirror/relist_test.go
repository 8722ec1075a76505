package mirror_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/platform"
)

var errInvalid = errors.New("invalid configuration")

// TestListsAfterInterruptedWatch: a watch returns everything written since a revision, so each
// retry after an interrupted response is larger, and while changes go on none may complete. After
// an interrupted response the store is listed, as a list does not grow with what was missed.
func TestListsAfterInterruptedWatch(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.Put("op/config", configuration(1, "a"))
	first := r.follow(c, 0)
	padding := bytes.Repeat([]byte(" "), 1<<10)
	for version := 2; version <= 10; version++ {
		r.store.Put("op/config", append(configuration(version, "b"), padding...))
	}
	r.store.SetFault(func(*http.Request) store.Fault { return store.Cut })
	_, outcome := r.mirror.AwaitRevision(context.Background(), first.Version().Revision, wait)
	c.Assert(outcome.Status, qt.Equals, source.StatusUnreachable)
	r.store.SetFault(nil)
	c.Check(r.follow(c, first.Version().Revision).Content().Routes[0].Targets[0].Service, qt.Equals, "b")
	c.Check(r.store.Calls("/v1/kv-range"), qt.Equals, 2)
	c.Check(r.store.Calls("/v1/kv-watch"), qt.Equals, 1)
}

// TestOnlyNewestConfigurationIsValidated: of several configurations in one response the newest valid
// one is used, and those before it are not compiled.
func TestOnlyNewestConfigurationIsValidated(t *testing.T) {
	for name, row := range map[string]struct {
		bad     map[uint64]bool // by number
		counts  uint64
		checked int
	}{
		"all good":            {counts: 6, checked: 1},
		"the newest is bad":   {bad: map[uint64]bool{6: true}, counts: 5, checked: 2},
		"an older one is bad": {bad: map[uint64]bool{4: true}, counts: 6, checked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newHarness(t, timeout)
			checked := 0
			adapter := platform.NewStore(r.url, nil)
			defer adapter.Close()
			m, err := mirror.New(mirror.Options{
				Store: adapter, Logger: logging.Discard(), Timeout: timeout,
				Validate: func(configuration *mirror.Configuration) error {
					checked++
					if row.bad[configuration.Origin.Number] {
						return errInvalid
					}
					return nil
				},
			})
			c.Assert(err, qt.IsNil)
			r.mirror = m
			r.store.Put("op/config", configuration(1, "a"))
			first := r.follow(c, 0)
			checked = 0
			services := []string{2: "a", 3: "b", 4: "a", 5: "b", 6: "a"}
			for version := 2; version <= 6; version++ {
				r.store.Put("op/config", configuration(version, services[version]))
			}
			content := r.follow(c, first.Version().Revision).Content()
			c.Check(content.Routes[0].Targets[0].Service, qt.Equals, services[row.counts])
			c.Check(checked, qt.Equals, row.checked)
		})
	}
}

// TestBacklogIsListed: a reader that takes over, had no response for a while or reads more slowly
// than changes are written would be sent all configurations since its revision, of which only the
// newest counts. The store is listed instead. A response smaller than the whole content is still
// read with a watch, as a list would delay instance changes.
func TestBacklogIsListed(t *testing.T) {
	large := func(version int) []byte {
		return append(configuration(version, "a"), bytes.Repeat([]byte(" "), 100<<10)...)
	}
	rows := map[string]struct {
		write func(emulated *store.Store)
		lists int
	}{
		"one change of an instance": {func(s *store.Store) { s.Put("servers/i-2", instance("a", "10.0.0.2:80", "ready")) }, 1},
		"one configuration":         {func(s *store.Store) { s.Put("op/config", large(2)) }, 1},
		"many changes of instances": {func(s *store.Store) {
			for range 100 {
				s.Put("servers/i-2", instance("a", "10.0.0.2:80", "ready"))
			}
		}, 1},
		"many configurations": {func(s *store.Store) {
			for version := 2; version < 10; version++ {
				s.Put("op/config", large(version))
			}
		}, 2},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newHarness(t, timeout)
			r.store.Put("op/config", large(1))
			r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
			first := r.follow(c, 0)
			row.write(r.store)
			next := r.follow(c, first.Version().Revision)
			c.Check(r.store.Calls("/v1/kv-range"), qt.Equals, row.lists)
			r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "draining"))
			last := r.follow(c, next.Version().Revision)
			c.Check(last.Content().Instances[0].State, qt.Equals, snapshot.InstanceDraining)
			c.Check(r.store.Calls("/v1/kv-range"), qt.Equals, row.lists)
		})
	}
}

// TestNoDocumentFromListWithInvalidConfiguration: a node that resumes reading after a long time
// lists a store whose current configuration is invalid. The configuration that it read last may be
// outdated, and a document with it would remove newer routes. The node must build no document until
// it reads a valid configuration, but it still publishes instance changes.
func TestNoDocumentFromListWithInvalidConfiguration(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.Put("op/config", configuration(1, "a"))
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	first := r.follow(c, 0)
	published := make(chan snapshot.Change, 10)
	r.mirror.OnChanges(func(changes []snapshot.Change) {
		for _, change := range changes {
			published <- change
		}
	})
	r.store.Put("op/config", configuration(2, "b"))
	r.store.Put("op/config", []byte(`{"version":3,"serv`))
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "draining"))
	r.store.Compact()
	version, outcome := r.mirror.AwaitRevision(context.Background(), first.Version().Revision, 0)
	c.Check(outcome.Err, qt.IsNil)
	c.Check(version.Revision <= first.Version().Revision, qt.IsTrue, qt.Commentf("%s", version))
	c.Check((<-published).Instance.State, qt.Equals, snapshot.Lifecycle(snapshot.InstanceDraining))

	r.store.Put("op/config", configuration(4, "b"))
	last := r.follow(c, first.Version().Revision)
	c.Check(last.Content().Routes[0].Targets[0].Service, qt.Equals, "b")
	c.Check(last.Content().Instances[0].State, qt.Equals, snapshot.Lifecycle(snapshot.InstanceDraining))
}

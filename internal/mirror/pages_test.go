package mirror_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// pagedStore lists the configuration on the first page and everything else on the second.
type pagedStore struct{ *scriptedStore }

// List returns one of the pages.
func (s pagedStore) List(ctx context.Context, after string) (mirror.Page, source.Outcome) {
	whole, outcome := s.scriptedStore.List(ctx, after)
	page := mirror.Page{At: whole.At}
	for _, item := range whole.Items {
		if isFirst := item.Kind == mirror.KindConfiguration; isFirst == (after == "") {
			page.Items = append(page.Items, item)
		}
	}
	if after == "" {
		page.Next = "second"
	}
	return page, outcome
}

// TestCompilationDoesNotTimeOutList: a list of several pages compiles its configuration before it
// requests the next page. The read timeout must not count that time, or on a small machine every
// list would fail as if the store had stopped responding.
func TestCompilationDoesNotTimeOutList(t *testing.T) {
	const (
		readTimeout = time.Second
		compileTime = 2 * readTimeout
	)
	c := qt.New(t)
	store := pagedStore{&scriptedStore{c: c}}
	store.put("a", "b")
	ctx, end := source.WithStallTimeout(context.Background(), readTimeout, readTimeout)
	defer end()
	m, err := mirror.New(mirror.Options{
		Store: store, Logger: logging.Discard(), Timeout: time.Minute,
		Validate: func(*mirror.Configuration) error {
			select {
			case <-ctx.Done():
			case <-time.After(compileTime):
			}
			return nil
		},
	})
	c.Assert(err, qt.IsNil)
	document, outcome := m.Fetch(ctx, snapshot.Version{})
	c.Assert(outcome.Status, qt.Equals, source.StatusFresh)
	c.Check(context.Cause(ctx), qt.IsNil)
	c.Check(document.Content().Instances, qt.HasLen, 2)
}

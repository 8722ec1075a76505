package mirror_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// scriptedStore is an in-memory store with instances and a configuration.
type scriptedStore struct {
	c                      *qt.C
	unavailable, compacted bool
	revision               snapshot.Revision
	items                  map[string]mirror.Item
	events                 []mirror.Item
}

func (s *scriptedStore) put(names ...string) {
	for _, name := range names {
		s.write(instanceItem(name, snapshot.InstanceReady))
	}
}

// drain sets an instance to draining.
func (s *scriptedStore) drain(name string) { s.write(instanceItem(name, snapshot.InstanceDraining)) }

// evacuate writes an evacuation of a zone.
func (s *scriptedStore) evacuate(zone string) {
	s.write(mirror.Item{Kind: mirror.KindEvacuation, Key: "evacuate/" + zone, Name: zone, Evacuation: &snapshot.Evacuation{Zone: zone}})
}

func instanceItem(name string, state snapshot.Lifecycle) mirror.Item {
	return mirror.Item{Kind: mirror.KindInstance, Key: name, Name: name, Instance: &snapshot.Instance{
		Name: name, Service: "a", Address: "10.0.0.1:80", State: state,
	}}
}

func (s *scriptedStore) remove(names ...string) {
	for _, name := range names {
		s.write(mirror.Item{Kind: mirror.KindInstance, Key: name, Name: name, Removed: true})
	}
}

func (s *scriptedStore) write(item mirror.Item) {
	if s.items == nil {
		s.items = map[string]mirror.Item{"configuration": {Kind: mirror.KindConfiguration, Key: "configuration", Configuration: &mirror.Configuration{
			Routes: []snapshot.TypedRoute{{Name: "r", Host: "h", PathPrefix: "/", Targets: []snapshot.WeightedService{{Service: "a", Weight: 1}}}},
		}}}
	}
	s.revision++
	item.Revision = s.revision
	s.events = append(s.events, item)
	if item.Removed {
		delete(s.items, item.Key)
		return
	}
	s.items[item.Key] = item
}

var errUnavailable = errors.New("unavailable")

// List returns all items on one page.
func (s *scriptedStore) List(context.Context, string) (mirror.Page, source.Outcome) {
	if s.unavailable {
		return mirror.Page{}, source.Outcome{Status: source.StatusUnreachable, Err: errUnavailable}
	}
	page := mirror.Page{At: s.revision}
	for _, item := range s.items {
		page.Items = append(page.Items, item)
	}
	return page, source.Outcome{Status: source.StatusFresh}
}

// Watch returns the changes after a revision without waiting.
func (s *scriptedStore) Watch(_ context.Context, _ mirror.Scope, after snapshot.Revision, _ time.Duration, _ int64) (mirror.Events, source.Outcome) {
	if s.unavailable {
		return mirror.Events{}, source.Outcome{Status: source.StatusUnreachable, Err: errUnavailable}
	}
	if s.compacted {
		s.compacted = false
		return mirror.Events{Compacted: true}, source.Outcome{Status: source.StatusFresh}
	}
	found := mirror.Events{At: s.revision}
	for _, item := range s.events {
		if item.Revision > after {
			found.Items = append(found.Items, item)
		}
	}
	return found, source.Outcome{Status: source.StatusFresh}
}

// Sample returns the instances, two a page.
func (s *scriptedStore) Sample(ctx context.Context, after string) (mirror.Page, source.Outcome) {
	const pageItems = 2
	whole, outcome := s.List(ctx, "")
	slices.SortFunc(whole.Items, func(a, b mirror.Item) int { return strings.Compare(a.Key, b.Key) })
	page := mirror.Page{At: whole.At}
	for _, item := range whole.Items {
		switch {
		case item.Kind != mirror.KindInstance || item.Key <= after:
		case len(page.Items) < pageItems:
			page.Items = append(page.Items, item)
		default:
			page.Next = page.Items[pageItems-1].Key
		}
	}
	return page, outcome
}

package mirror

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// state is the content of the store that nodes use (configuration, instances and evacuations) at
// one revision.
type state struct {
	// revision is the revision up to which changes are applied.
	revision snapshot.Revision
	// documentRevision is the revision of the document: that of the last read that changed
	// anything a document contains.
	documentRevision snapshot.Revision
	configuration    *Configuration
	instances        map[string]snapshot.Instance   // by key
	evacuations      map[string]snapshot.Evacuation // by key
	// built is the last document that was built, and builtFrom the configuration it contains.
	built     *snapshot.Document
	builtFrom *Configuration
}

func newState() state {
	return state{instances: make(map[string]snapshot.Instance), evacuations: make(map[string]snapshot.Evacuation)}
}

// clone copies the mutable parts. It keeps the document built for the previous state, most of which
// is reused.
func (s *state) clone(previous state) state {
	copied := *s
	copied.instances = maps.Clone(s.instances)
	copied.evacuations = maps.Clone(s.evacuations)
	copied.built, copied.builtFrom = previous.built, previous.builtFrom
	return copied
}

func (s *state) empty() bool { return s.revision == 0 }

// apply applies items and reports whether anything changed. An entry that is not a configuration at all
// leaves the last one in place. An invalid instance entry removes the instance.
func (s *state) apply(items []Item, options Options, faults *invalidEntryReporter) (changed bool) {
	checked := checkItems(items, options)
	for i, item := range items {
		switch {
		case item.Kind == KindOther, checked[i].superseded:
		case checked[i].fault != nil:
			faults.report(item, checked[i].fault)
			changed = s.dropInstance(item) || changed
		default:
			s.applyOne(item)
			changed = true
		}
	}
	return changed
}

// checkedItem is the result of checking an item.
type checkedItem struct {
	// fault says why the item cannot be applied, nil if it can.
	fault error
	// superseded is set for a configuration that a later valid one of the same response replaces.
	// It is not validated, as a reader that is behind would have many of them to compile.
	superseded bool
}

// checkItems checks items, newest first.
func checkItems(items []Item, options Options) []checkedItem {
	checked := make([]checkedItem, len(items))
	configured := false
	for i := len(items) - 1; i >= 0; i-- {
		if items[i].Kind == KindConfiguration && configured {
			checked[i].superseded = true
			continue
		}
		checked[i].fault = validateItem(items[i], options)
		configured = configured || items[i].Configuration != nil && checked[i].fault == nil
	}
	return checked
}

// validateItem returns the reason why an item cannot be applied, or nil.
func validateItem(item Item, options Options) error {
	switch {
	case item.Fault != nil || item.Removed:
		return item.Fault
	case item.Instance != nil:
		return item.Instance.Check()
	case item.Evacuation != nil:
		return item.Evacuation.Check()
	case item.Configuration != nil:
		return item.Configuration.makeUsable(options.Validate)
	default:
		return nil
	}
}

// Defaults for the limits that a route omits.
const (
	defaultRouteTimeoutMillis = 10_000
	defaultRouteAttempts      = 1
)

// setDefaults fills in the limits that routes omit.
func (c *Configuration) setDefaults() {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.TimeoutMillis == 0 {
			route.TimeoutMillis = defaultRouteTimeoutMillis
		}
		if route.MaxAttempts == 0 {
			route.MaxAttempts = defaultRouteAttempts
		}
	}
}

// makeUsable keeps a value that cannot be used, and a configuration that is too large, from costing more than
// the resources concerned. It returns the reason why the configuration cannot come into force after all, or nil.
func (c *Configuration) makeUsable(validate func(*Configuration) error) error {
	c.setDefaults()
	c.setContent(snapshot.Sanitize(c.content()))
	err := c.check(validate)
	if err == nil {
		return nil
	}
	limited, leftOut := snapshot.LimitSize(c.content())
	if leftOut == 0 {
		return err
	}
	c.setContent(limited)
	return c.check(validate)
}

// check builds the document of the configuration alone and returns why it cannot come into force, or nil.
func (c *Configuration) check(validate func(*Configuration) error) error {
	document, err := snapshot.NewDocument(c.content())
	if err != nil {
		return err
	}
	c.document = document
	return validate(c)
}

// Document returns the document of the configuration alone, without instances. It is set when Validate is
// called; its revision is not that of the source.
func (c *Configuration) Document() *snapshot.Document { return c.document }

func (c *Configuration) content() snapshot.Content {
	return snapshot.Content{Revision: 1, Origin: c.Origin, Services: c.Services, Routes: c.Routes, Tenants: c.Tenants, Limits: c.Limits}
}

func (c *Configuration) setContent(content snapshot.Content) {
	c.Services, c.Routes, c.Tenants, c.Limits = content.Services, content.Routes, content.Tenants, content.Limits
}

// dropInstance removes an instance whose entry is invalid, and reports whether it was present.
func (s *state) dropInstance(item Item) bool {
	if _, held := s.instances[item.Key]; !held || item.Kind != KindInstance {
		return false
	}
	delete(s.instances, item.Key)
	return true
}

func (s *state) applyOne(item Item) {
	switch {
	case item.Kind == KindConfiguration && item.Configuration != nil:
		s.configuration = item.Configuration
	case item.Kind == KindInstance && item.Removed:
		delete(s.instances, item.Key)
	case item.Kind == KindInstance && item.Instance != nil:
		s.instances[item.Key] = *item.Instance
	case item.Kind == KindEvacuation && item.Removed:
		delete(s.evacuations, item.Key)
	case item.Kind == KindEvacuation && item.Evacuation != nil:
		s.evacuations[item.Key] = *item.Evacuation
	}
}

// changedSince returns the differences from a previous state as items at this state's revision,
// except new ready instances.
func (s *state) changedSince(previous state) (changed []Item) {
	for key, instance := range s.instances {
		item := Item{Kind: KindInstance, Key: key, Name: instance.Name, Revision: s.revision, Instance: &instance}
		if before, listed := previous.instances[key]; listed && before != instance || !listed && !item.isReadyInstance() {
			changed = append(changed, item)
		}
	}
	for key, instance := range previous.instances {
		if _, listed := s.instances[key]; !listed {
			changed = append(changed, Item{Kind: KindInstance, Key: key, Name: instance.Name, Revision: s.revision, Removed: true})
		}
	}
	for key, evacuation := range s.evacuations {
		if _, listed := previous.evacuations[key]; !listed {
			changed = append(changed, Item{Kind: KindEvacuation, Key: key, Name: evacuation.Zone, Revision: s.revision, Evacuation: &evacuation})
		}
	}
	for key, evacuation := range previous.evacuations {
		if _, listed := s.evacuations[key]; !listed {
			changed = append(changed, Item{Kind: KindEvacuation, Key: key, Name: evacuation.Zone, Revision: s.revision, Removed: true})
		}
	}
	return changed
}

// newerInstancesSince returns the instance entries that are newer than those of a previous state.
// After the store was restored from a backup, only these count as changes: an entry that is missing
// may not have been written again yet, and an evacuation may have been ended since the backup.
func (s *state) newerInstancesSince(previous state) (changed []Item) {
	for _, item := range s.changedSince(previous) {
		held, listed := previous.instances[item.Key]
		if item.Instance != nil && (!listed || item.Instance.Supersedes(held)) {
			changed = append(changed, item)
		}
	}
	return changed
}

// document returns the document of the state. While the configuration is unchanged, only instances
// and evacuations are encoded again.
func (s *state) document() (*snapshot.Document, error) {
	if s.configuration == nil {
		return nil, eris.New("the store has no configuration yet")
	}
	document, err := s.buildDocument()
	if err == nil {
		s.built, s.builtFrom = document, s.configuration
	}
	return document, err
}

// buildDocument adds the instances and evacuations to the document built last, or to that of a new configuration.
func (s *state) buildDocument() (*snapshot.Document, error) {
	base := s.configuration.document
	if s.built != nil && s.builtFrom == s.configuration {
		base = s.built
	}
	return base.WithFleet(s.documentRevision, s.listedInstances(), s.listedEvacuations())
}

func (s *state) listedEvacuations() []snapshot.Evacuation {
	return slices.Collect(maps.Values(s.evacuations))
}

// listedInstances returns the instances of the services that the configuration names, or all if it
// names none: an entry of another service must not take over the address of a running instance.
func (s *state) listedInstances() []snapshot.Instance {
	named := make(map[string]bool, len(s.configuration.Services))
	for _, service := range s.configuration.Services {
		named[service.Name] = true
	}
	listed := make([]snapshot.Instance, 0, len(s.instances))
	for _, instance := range s.instances {
		if len(named) == 0 || named[instance.Service] {
			listed = append(listed, instance)
		}
	}
	return listed
}

// members returns the sidecars of the instances, sorted and without duplicates.
func (s *state) members(memberOf func(snapshot.Instance) (membership.ListedMember, bool)) []membership.ListedMember {
	var members []membership.ListedMember
	for _, instance := range s.instances {
		if member, ok := memberOf(instance); ok {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b membership.ListedMember) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.PeerAddress, b.PeerAddress))
	})
	return slices.CompactFunc(members, func(a, b membership.ListedMember) bool { return a.Node == b.Node })
}

// etagOf returns a tag that identifies the content of a list of members.
func etagOf(members []membership.ListedMember) string {
	digest := xxhash.New()
	for _, member := range members {
		_, _ = fmt.Fprintf(digest, "%s\x00%s\x00%s\x00", member.Node, member.PeerAddress, member.Zone)
	}
	return fmt.Sprintf("%d-%x", len(members), digest.Sum64())
}

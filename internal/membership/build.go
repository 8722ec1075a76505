package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// next returns a copy of v in which the members in changed replace those of the
// same name or are added, and those named in removed are left out. Both must be
// sorted by NodeID. Unchanged parts are shared with v or copied as a block,
// because views change often while many nodes start or end.
func (v *View) next(changed []*Member, removed []NodeID) *View {
	services := newServiceChanges(v.services)
	members := make([]*Member, 0, len(v.members)+len(changed))
	rest := v.members
	for len(changed) > 0 || len(removed) > 0 {
		node := firstOf(changed, removed)
		position, found := slices.BinarySearchFunc(rest, node, compareToNode)
		members = append(members, rest[:position]...)
		rest = rest[position:]
		if found {
			services.remove(rest[0])
			rest = rest[1:]
		}
		if len(removed) > 0 && removed[0] == node {
			removed = removed[1:]
			continue
		}
		services.add(changed[0])
		members = append(members, changed[0])
		changed = changed[1:]
	}
	members = append(members, rest...)
	return &View{members: members, services: services.result()}
}

func firstOf(changed []*Member, removed []NodeID) NodeID {
	switch {
	case len(changed) == 0:
		return removed[0]
	case len(removed) == 0:
		return changed[0].Record.Node
	default:
		return min(changed[0].Record.Node, removed[0])
	}
}

func compareToNode(member *Member, node NodeID) int {
	return strings.Compare(string(member.Record.Node), string(node))
}

func sortMembers(members []*Member) {
	slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(a.Record.Node, b.Record.Node) })
}

// serviceChanges derives the services of a view from those of the previous view
// and copies only those that change.
type serviceChanges struct {
	before map[string]*serviceView
	copied map[string]*serviceView
}

func newServiceChanges(before map[string]*serviceView) *serviceChanges {
	return &serviceChanges{before: before, copied: make(map[string]*serviceView)}
}

// editable returns a copy of the service's view that may be changed.
func (s *serviceChanges) editable(service string) *serviceView {
	if view := s.copied[service]; view != nil {
		return view
	}
	view := &serviceView{zones: make(map[string]int)}
	if before := s.before[service]; before != nil {
		view.endpoints = slices.Clone(before.endpoints)
		view.ready = before.ready
		view.zones = maps.Clone(before.zones)
	}
	s.copied[service] = view
	return view
}

func (s *serviceChanges) remove(member *Member) {
	if !member.MayTakeWork() {
		return
	}
	view := s.editable(member.Record.Service)
	position, _ := view.find(member.Record.Node)
	view.endpoints = slices.Delete(view.endpoints, position, position+1)
	view.addReady(member, -1)
}

func (s *serviceChanges) add(member *Member) {
	if !member.MayTakeWork() {
		return
	}
	view := s.editable(member.Record.Service)
	position, _ := view.find(member.Record.Node)
	view.endpoints = slices.Insert(view.endpoints, position, member.endpoint())
	view.addReady(member, 1)
}

// result returns the services of the new view. A service whose endpoints are equal
// keeps its previous view, so that views can be compared cheaply.
func (s *serviceChanges) result() map[string]*serviceView {
	services := maps.Clone(s.before)
	if services == nil {
		services = make(map[string]*serviceView, len(s.copied))
	}
	for name, view := range s.copied {
		before := s.before[name]
		switch {
		case before != nil && slices.Equal(before.endpoints, view.endpoints):
		case len(view.endpoints) == 0:
			delete(services, name)
		default:
			services[name] = view
		}
	}
	return services
}

func (s *serviceView) find(node NodeID) (int, bool) {
	return slices.BinarySearchFunc(s.endpoints, node, func(endpoint Endpoint, node NodeID) int {
		return cmp.Compare(endpoint.Node, node)
	})
}

// addReady adds delta to the counts of ready instances. Suspected ones do not count.
func (s *serviceView) addReady(member *Member, delta int) {
	if member.Suspected {
		return
	}
	s.ready += delta
	s.zones[member.Record.Zone] += delta
}

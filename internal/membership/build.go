package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// next returns the view that follows v when the members in changed replace those
// of the same name, or are added, and those named in removed are left out. Both
// are sorted by NodeID. What did not change is shared with v or copied as a
// block, as views follow each other quickly while many nodes start or end.
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

// serviceChanges derives the services of a view from those of the one before,
// copying only those that change.
type serviceChanges struct {
	before map[string]*serviceView
	copied map[string]*serviceView
}

func newServiceChanges(before map[string]*serviceView) *serviceChanges {
	return &serviceChanges{before: before, copied: make(map[string]*serviceView)}
}

// part returns a copy of the service's part that may be changed.
func (s *serviceChanges) part(service string) *serviceView {
	if part := s.copied[service]; part != nil {
		return part
	}
	part := &serviceView{zones: make(map[string]int)}
	if before := s.before[service]; before != nil {
		part.endpoints = slices.Clone(before.endpoints)
		part.ready = before.ready
		part.zones = maps.Clone(before.zones)
	}
	s.copied[service] = part
	return part
}

func (s *serviceChanges) remove(member *Member) {
	if !member.MayTakeWork() {
		return
	}
	part := s.part(member.Record.Service)
	position, _ := part.find(member.Record.Node)
	part.endpoints = slices.Delete(part.endpoints, position, position+1)
	part.count(member, -1)
}

func (s *serviceChanges) add(member *Member) {
	if !member.MayTakeWork() {
		return
	}
	part := s.part(member.Record.Service)
	position, _ := part.find(member.Record.Node)
	part.endpoints = slices.Insert(part.endpoints, position, member.endpoint())
	part.count(member, 1)
}

// result returns the services of the new view. A part that ended as it began is
// the former one, so that views can be compared cheaply.
func (s *serviceChanges) result() map[string]*serviceView {
	services := maps.Clone(s.before)
	if services == nil {
		services = make(map[string]*serviceView, len(s.copied))
	}
	for name, part := range s.copied {
		before := s.before[name]
		switch {
		case before != nil && slices.Equal(before.endpoints, part.endpoints):
		case len(part.endpoints) == 0:
			delete(services, name)
		default:
			services[name] = part
		}
	}
	return services
}

func (p *serviceView) find(node NodeID) (int, bool) {
	return slices.BinarySearchFunc(p.endpoints, node, func(endpoint Endpoint, node NodeID) int {
		return cmp.Compare(endpoint.Node, node)
	})
}

// count adds to the numbers of ready instances. Suspected ones do not count.
func (p *serviceView) count(member *Member, by int) {
	if member.Suspected {
		return
	}
	p.ready += by
	p.zones[member.Record.Zone] += by
}

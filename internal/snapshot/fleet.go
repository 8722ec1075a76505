package snapshot

import (
	"maps"
	"slices"
)

// fleet is the part of a snapshot about instances. Snapshots share it while the
// instances stay the same.
type fleet struct {
	byService map[string][]Instance
	byAddress map[string]Instance // the one created last
	byName    map[string]Instance
	limits    *CallerLimits
	evacuated map[string]bool // by zone
}

func newFleet(content Content) fleet {
	built := fleet{
		byService: make(map[string][]Instance),
		byAddress: make(map[string]Instance, len(content.Instances)),
		byName:    make(map[string]Instance, len(content.Instances)),
		limits:    content.Limits,
		evacuated: make(map[string]bool, len(content.Evacuations)),
	}
	for _, evacuation := range content.Evacuations {
		built.evacuated[evacuation.Zone] = true
	}
	instances := built.withEvacuated(content.Instances)
	for _, instance := range instances {
		if holder, taken := built.byAddress[instance.Address]; !taken || holder.Created < instance.Created {
			built.byAddress[instance.Address] = instance
		}
	}
	for _, instance := range instances {
		built.byName[instance.Name] = instance
		if built.byAddress[instance.Address].Name == instance.Name {
			built.byService[instance.Service] = append(built.byService[instance.Service], instance)
		}
	}
	return built
}

// withEvacuated returns the instances, ready ones in evacuated zones as such.
func (f *fleet) withEvacuated(instances []Instance) []Instance {
	if len(f.evacuated) == 0 {
		return instances
	}
	marked := slices.Clone(instances)
	for i := range marked {
		if marked[i].State == InstanceReady && f.evacuated[marked[i].Zone] {
			marked[i].State = InstanceEvacuated
		}
	}
	return marked
}

// WithFleet returns a snapshot with the same routes, services and secrets for a
// newer version that differs only in instances, evacuations and limits, which it
// takes from the content.
func (s *Snapshot) WithFleet(version Version, content Content) *Snapshot {
	next := *s
	next.version = version
	next.fleet = newFleet(content)
	return &next
}

// IsEvacuated reports whether the instances of a zone must get no requests.
func (s *Snapshot) IsEvacuated(zone string) bool { return s.fleet.evacuated[zone] }

// EvacuatedZones returns the zones that are evacuated, sorted.
func (s *Snapshot) EvacuatedZones() []string {
	return slices.Sorted(maps.Keys(s.fleet.evacuated))
}

// Instances returns the instances of a service, draining ones included, sorted by
// name. An instance whose address a later one has is gone, though it is listed. The
// caller must not change the slice.
func (s *Snapshot) Instances(service string) []Instance { return s.fleet.byService[service] }

// HoldsAddress reports whether the instance of that name is listed and the last one
// that was created at its address.
func (s *Snapshot) HoldsAddress(name string) bool {
	instance, listed := s.fleet.byName[name]
	return listed && s.fleet.byAddress[instance.Address].Name == name
}

// Instance returns the instance of that name, if it is listed.
func (s *Snapshot) Instance(name string) (Instance, bool) {
	instance, listed := s.fleet.byName[name]
	return instance, listed
}

// InstanceCount returns how many instances are listed.
func (s *Snapshot) InstanceCount() int { return len(s.fleet.byName) }

// Limits returns the limits for callers, or nil when the document has none.
func (s *Snapshot) Limits() *CallerLimits { return s.fleet.limits }

// SameRouting reports whether both documents have the same services, policies,
// secrets and typed routes, so that a snapshot of one serves for the other with
// the other's instances.
func SameRouting(a, b *Document) bool {
	return slices.Equal(a.routingDigests(), b.routingDigests())
}

// routingDigests are those of the resources that routes depend on, which stand
// before instances and limits.
func (d *Document) routingDigests() []resourceDigest {
	end, _ := d.span(KindInstance)
	return d.digests[:end]
}

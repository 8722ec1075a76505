package snapshot

import (
	"iter"
	"maps"
	"slices"
)

// fleet is the part of a snapshot that concerns instances. Snapshots share it while it does not
// change.
type fleet struct {
	byService map[string][]Instance
	byAddress map[string]Instance // the latest instance at the address
	byName    map[string]Instance
	limits    *CallerLimits
	evacuated map[string]bool // by zone
	// endedEvacuations counts, by zone, the evacuations that ended while this process held a
	// configuration.
	endedEvacuations map[string]int
	// removed holds the revisions at which changes ahead of the document removed instances, by
	// name.
	removed map[string]Revision
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
	instances := built.markEvacuated(content.Instances)
	for _, instance := range instances {
		if owner, taken := built.byAddress[instance.Address]; !taken || instance.startedAfter(owner) {
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

// markEvacuated returns the instances with ready ones in evacuated zones marked as evacuated.
func (f *fleet) markEvacuated(instances []Instance) []Instance {
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

// WithFleet returns a snapshot with the same routes, services, secrets and tenants for a newer version that
// differs only in instances, evacuations and limits, which are taken from the content.
func (s *Snapshot) WithFleet(version Version, content Content) *Snapshot {
	next := *s
	next.version = version
	next.fleet = newFleet(content)
	return &next
}

// WithChanges returns a snapshot with the same routes, services and secrets for a document. Its
// instances and evacuations are those of the document, with later changes and retained states
// applied.
func (s *Snapshot) WithChanges(document *Document, changes *Changes, retained *Retained) *Snapshot {
	next := s.WithFleet(document.version, retained.Apply(changes.Apply(document.content)))
	next.fleet.removed = changes.removedAfter(document.version.Revision)
	return next
}

// KnownRevision returns the revision up to which the snapshot reflects the state of an instance that it
// does not list.
func (s *Snapshot) KnownRevision(name string) Revision {
	return max(s.version.Revision, s.fleet.removed[name])
}

// WithPrevious returns the snapshot as the successor of a previous one, which may be nil, and counts
// the evacuations that have ended since.
func (s *Snapshot) WithPrevious(previous *Snapshot) *Snapshot {
	if previous == nil {
		return s
	}
	next := *s
	next.fleet.endedEvacuations = previous.fleet.endedEvacuations
	for zone := range previous.fleet.evacuated {
		if !s.IsEvacuated(zone) {
			next.fleet.endedEvacuations = maps.Clone(next.fleet.endedEvacuations)
			if next.fleet.endedEvacuations == nil {
				next.fleet.endedEvacuations = make(map[string]int)
			}
			next.fleet.endedEvacuations[zone]++
		}
	}
	return &next
}

// EndedEvacuations returns how many evacuations of a zone have ended while this process held a
// configuration. The zone's instances may have become cold each time.
func (s *Snapshot) EndedEvacuations(zone string) int { return s.fleet.endedEvacuations[zone] }

// IsEvacuated reports whether the instances of a zone must not receive requests.
func (s *Snapshot) IsEvacuated(zone string) bool { return s.fleet.evacuated[zone] }

// EvacuatedZones returns the evacuated zones, sorted.
func (s *Snapshot) EvacuatedZones() []string {
	return slices.Sorted(maps.Keys(s.fleet.evacuated))
}

// Instances returns the instances of a service sorted by name, including draining ones. It leaves
// out listed instances whose address was taken over by a later instance. The caller must not modify
// the slice.
func (s *Snapshot) Instances(service string) []Instance { return s.fleet.byService[service] }

// OwnsAddress reports whether the named instance is listed and is the latest one at its address.
func (s *Snapshot) OwnsAddress(name string) bool {
	instance, listed := s.fleet.byName[name]
	return listed && s.fleet.byAddress[instance.Address].Name == name
}

// InstanceAt returns the latest instance at an address.
func (s *Snapshot) InstanceAt(address string) (Instance, bool) {
	instance, listed := s.fleet.byAddress[address]
	return instance, listed
}

// Instance returns the instance of a name, if it is listed.
func (s *Snapshot) Instance(name string) (Instance, bool) {
	instance, listed := s.fleet.byName[name]
	return instance, listed
}

// AllInstances yields the listed instances in no particular order.
func (s *Snapshot) AllInstances() iter.Seq[Instance] { return maps.Values(s.fleet.byName) }

// InstanceCount returns the number of listed instances.
func (s *Snapshot) InstanceCount() int { return len(s.fleet.byName) }

// Limits returns the limits for callers, or nil if the document has none.
func (s *Snapshot) Limits() *CallerLimits { return s.fleet.limits }

// SameRouting reports whether both documents have the same services, policies, secrets, typed
// routes and tenants, so that a snapshot of one can be used for the other with the other's instances.
func SameRouting(a, b *Document) bool {
	return slices.Equal(a.routingDigests(), b.routingDigests()) && slices.Equal(a.tenantDigests(), b.tenantDigests())
}

func (d *Document) tenantDigests() []resourceDigest {
	start, end := d.span(KindTenant)
	return d.digests[start:end]
}

// routingDigests returns the digests of the resources that determine routing, which are sorted before
// instances and limits.
func (d *Document) routingDigests() []resourceDigest {
	end, _ := d.span(KindInstance)
	return d.digests[:end]
}

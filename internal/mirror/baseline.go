package mirror

import (
	"strings"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// SetInForce sets the source of the snapshot that this node has in force, which it got from peers
// while it did not read the store; it must be called before the first read. The first list of a node
// that takes over reading is compared with it: what disappeared in an outage of the store is awaited,
// and what changed is published, as by a node that read the store all the time.
func (m *Mirror) SetInForce(inForce func() *snapshot.Snapshot) { m.inForce = inForce }

// baseline returns the state that this node has in force, with the keys of the listed state, or an empty
// state if it has none. It has no configuration and no revision.
func (m *Mirror) baseline(listed state) state {
	baseline := newState()
	if m.inForce == nil {
		return baseline
	}
	current := m.inForce()
	if current == nil {
		return baseline
	}
	keys := make(map[string]string, len(listed.instances))
	for key, instance := range listed.instances {
		keys[instance.Name] = key
	}
	for instance := range current.AllInstances() {
		if instance.State == snapshot.InstanceEvacuated {
			instance.State = snapshot.InstanceReady
		}
		baseline.instances[keyOf(keys, instance.Name)] = instance
	}
	zones := make(map[string]string, len(listed.evacuations))
	for key, evacuation := range listed.evacuations {
		zones[evacuation.Zone] = key
	}
	for _, zone := range current.EvacuatedZones() {
		baseline.evacuations[keyOf(zones, zone)] = snapshot.Evacuation{Zone: zone}
	}
	return baseline
}

// unlistedKey marks the keys of entries that the store does not list, whose keys are not known. No key
// of a store begins with it.
const unlistedKey = "\x00"

func keyOf(keys map[string]string, name string) string {
	if key, listed := keys[name]; listed {
		return key
	}
	return unlistedKey + name
}

// lists reports whether the state lists an instance, by its key or, if that is not known, by its name.
func (s *state) lists(key, name string) bool {
	if _, listed := s.instances[key]; listed || !strings.HasPrefix(key, unlistedKey) {
		return listed
	}
	for _, instance := range s.instances {
		if instance.Name == name {
			return true
		}
	}
	return false
}

package mirror

import (
	"strings"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// SetInForce sets the source of the content that this node has in force as the store listed it, which it
// got from peers while it did not read the store; false means none. It must be called before the first
// read. The first list of a node that takes over reading is compared with it: what disappeared in an
// outage of the store is awaited, and what changed is published, as by a node that read the store all the
// time.
func (m *Mirror) SetInForce(inForce func() (listed snapshot.Content, known bool)) {
	m.inForce = inForce
}

// baseline returns the state that this node has in force, with the keys of the listed state, or an empty
// state if it has none. It has no configuration.
func (m *Mirror) baseline(listed state) state {
	baseline := newState()
	if m.inForce == nil {
		return baseline
	}
	content, known := m.inForce()
	if !known {
		return baseline
	}
	baseline.revision = content.Revision
	keys := make(map[string]string, len(listed.instances))
	for key, instance := range listed.instances {
		keys[instance.Name] = key
	}
	for _, instance := range content.Instances {
		baseline.instances[keyOf(keys, instance.Name)] = instance
	}
	zones := make(map[string]string, len(listed.evacuations))
	for key, evacuation := range listed.evacuations {
		zones[evacuation.Zone] = key
	}
	for _, evacuation := range content.Evacuations {
		baseline.evacuations[keyOf(zones, evacuation.Zone)] = evacuation
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

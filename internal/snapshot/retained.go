package snapshot

import (
	"maps"
	"math"
)

// Retained holds what was known of instances and evacuations when the source was restored from a
// backup of itself. The backup may lack the latest acknowledged writes, or contain what was removed
// since. A retained state takes precedence over the source until the source has an equally late
// state for the same name, or until the owner drops it. The zero value is empty.
type Retained struct {
	// epoch is the epoch of the source after it was restored.
	epoch     uint64
	instances map[string]retainedInstance // by name
	// evacuated says for each known zone whether it was evacuated.
	evacuated map[string]bool
}

// retainedInstance is the last known state of an instance.
type retainedInstance struct {
	instance Instance
	// removed says that the instance was removed.
	removed bool
}

// Retain returns what is known when a source enters a new epoch: what was listed before, and what was
// removed shortly before.
func Retain(epoch uint64, listed Content, ended Removed) Retained {
	retained := Retained{epoch: epoch, instances: make(map[string]retainedInstance), evacuated: make(map[string]bool)}
	for _, instance := range ended.Instances {
		retained.instances[instance.Name] = retainedInstance{instance: instance, removed: true}
	}
	for _, zone := range ended.Zones {
		retained.evacuated[zone] = false
	}
	for _, instance := range listed.Instances {
		retained.instances[instance.Name] = retainedInstance{instance: instance}
	}
	for _, evacuation := range listed.Evacuations {
		retained.evacuated[evacuation.Zone] = true
	}
	return retained
}

// Removed lists instances and evacuations that were removed.
type Removed struct {
	Instances []Instance
	Zones     []string
}

// Len returns the number of retained states.
func (r *Retained) Len() int { return len(r.instances) + len(r.evacuated) }

// Drop drops all retained states and returns how many of them the content contradicts.
func (r *Retained) Drop(content Content) (contradicted int) {
	listed := instancesByName(content.Instances)
	for name, retained := range r.instances {
		if instance, isListed := listed[name]; isListed && retained.supersedes(instance) || !isListed && !retained.removed {
			contradicted++
		}
	}
	for zone, evacuated := range r.evacuated {
		if content.isEvacuated(zone) != evacuated {
			contradicted++
		}
	}
	*r = Retained{}
	return contradicted
}

// DropUnlisted drops the states of instances that the content does not list, and returns their
// number.
func (r *Retained) DropUnlisted(content Content) (dropped int) {
	listed := instancesByName(content.Instances)
	maps.DeleteFunc(r.instances, func(name string, retained retainedInstance) bool {
		_, isListed := listed[name]
		isMissing := !isListed && !retained.removed
		if isMissing {
			dropped++
		}
		return isMissing
	})
	return dropped
}

// Add retains a change made in an earlier epoch.
func (r *Retained) Add(change Change) {
	if r.instances == nil {
		r.instances, r.evacuated = make(map[string]retainedInstance), make(map[string]bool)
	}
	name := change.Key.Name
	switch {
	case change.Key.Kind == KindEvacuation:
		r.evacuated[name] = change.Evacuated
	case change.Instance != nil:
		r.instances[name] = retainedInstance{instance: *change.Instance}
	default:
		held, known := r.instances[name]
		if !known {
			held.instance = Instance{Name: name, StartedMillis: math.MaxInt64} // removes every process of that name
		}
		r.instances[name] = retainedInstance{instance: held.instance, removed: true}
	}
}

// DropConfirmed drops the states that the restored source has caught up with, in the document in force
// or in later changes.
func (r *Retained) DropConfirmed(document Content, changes *Changes) {
	if r.Len() == 0 {
		return
	}
	isRestored := document.Revision.Epoch() >= r.epoch
	current := changes.Apply(document)
	listed := instancesByName(current.Instances)
	maps.DeleteFunc(r.instances, func(name string, retained retainedInstance) bool {
		change, changed := changes.sinceEpoch(r.epoch, Key{Kind: KindInstance, Name: name})
		if !changed && !isRestored {
			return false
		}
		instance, isListed := listed[name]
		switch {
		case !isListed:
			return !retained.removed && changed && change.Instance == nil
		case retained.removed && changed && change.Instance != nil:
			return true // a terminated instance does not write its entry again
		default:
			return !retained.supersedes(instance)
		}
	})
	maps.DeleteFunc(r.evacuated, func(zone string, evacuated bool) bool {
		_, changed := changes.sinceEpoch(r.epoch, Key{Kind: KindEvacuation, Name: zone})
		return changed || isRestored && current.isEvacuated(zone) == evacuated
	})
}

// supersedes reports whether the retained state is later than the listed instance of the name.
func (r retainedInstance) supersedes(listed Instance) bool {
	if r.removed {
		return r.instance.StartedMillis >= listed.StartedMillis
	}
	return r.instance.Supersedes(listed)
}

// Apply returns the content with retained states in place of what is older or missing.
func (r *Retained) Apply(content Content) Content {
	if r.Len() == 0 {
		return content
	}
	instances := make([]Instance, 0, len(content.Instances))
	for _, instance := range content.Instances {
		retained, known := r.instances[instance.Name]
		switch {
		case !known || !retained.supersedes(instance):
			instances = append(instances, instance)
		case !retained.removed:
			instances = append(instances, retained.instance)
		}
	}
	listed := instancesByName(content.Instances)
	for name, retained := range r.instances {
		if _, isListed := listed[name]; !isListed && !retained.removed && content.allowsService(retained.instance.Service) {
			instances = append(instances, retained.instance)
		}
	}
	evacuations := filter(content.Evacuations, func(evacuation Evacuation) bool {
		evacuated, known := r.evacuated[evacuation.Zone]
		return evacuated || !known
	})
	for zone, evacuated := range r.evacuated {
		if evacuated && !content.isEvacuated(zone) {
			evacuations = append(evacuations, Evacuation{Zone: zone})
		}
	}
	content.Instances = sortedByName(instances, instanceName)
	content.Evacuations = sortedByName(evacuations, evacuationName)
	return content
}

func instancesByName(instances []Instance) map[string]Instance {
	byName := make(map[string]Instance, len(instances))
	for _, instance := range instances {
		byName[instance.Name] = instance
	}
	return byName
}

// isEvacuated reports whether a zone is evacuated.
func (c *Content) isEvacuated(zone string) bool {
	for _, evacuation := range c.Evacuations {
		if evacuation.Zone == zone {
			return true
		}
	}
	return false
}

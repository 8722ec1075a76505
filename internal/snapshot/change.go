package snapshot

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Change is the state of one instance or evacuation from a revision of the source on. It is sent
// ahead of the document of that revision, which contains the same and may take much longer to
// arrive. Of two changes of one key the one with the higher revision wins, in any order of arrival.
type Change struct {
	// Revision is the source's revision at which the change was made.
	Revision Revision
	// Key is of KindInstance or KindEvacuation.
	Key Key
	// Instance is the listed instance; nil if it was removed.
	Instance *Instance
	// Evacuated says whether the zone is evacuated.
	Evacuated bool
}

// InstanceChange returns the change that lists an instance.
func InstanceChange(revision Revision, instance Instance) Change {
	return Change{Revision: revision, Key: Key{Kind: KindInstance, Name: instance.Name}, Instance: &instance}
}

// InstanceRemoval returns the change that removes the instance of a name.
func InstanceRemoval(revision Revision, name string) Change {
	return Change{Revision: revision, Key: Key{Kind: KindInstance, Name: name}}
}

// EvacuationChange returns the change that starts or ends the evacuation of a zone.
func EvacuationChange(revision Revision, zone string, evacuated bool) Change {
	return Change{Revision: revision, Key: Key{Kind: KindEvacuation, Name: zone}, Evacuated: evacuated}
}

// Resource returns the changed resource in encoded form, without a body if it was removed.
func (c Change) Resource() (Resource, error) {
	switch {
	case c.Instance != nil:
		return encode(KindInstance, c.Key.Name, *c.Instance)
	case c.Evacuated:
		return encode(KindEvacuation, c.Key.Name, Evacuation{Zone: c.Key.Name})
	default:
		return Resource{Key: c.Key}, nil
	}
}

// DecodeChange decodes a change from a resource in encoded form, or returns an error if the resource is
// not a valid change.
func DecodeChange(revision Revision, resource Resource) (Change, error) {
	change := Change{Revision: revision, Key: resource.Key}
	if revision == 0 {
		return change, eris.Errorf("%s: the change has no revision", resource.Key)
	}
	if resource.Key.Kind != KindInstance && resource.Key.Kind != KindEvacuation {
		return change, eris.Errorf("%s: resources of this kind change only with a document", resource.Key)
	}
	if err := checkName(resource.Key.Kind, resource.Key.Name); err != nil || len(resource.Body) == 0 {
		return change, err
	}
	var content Content
	if err := appendDecoded(&content, resource); err != nil {
		return change, err
	}
	if len(content.Instances) > 0 {
		change.Instance = &content.Instances[0]
	}
	change.Evacuated = len(content.Evacuations) > 0
	return change, nil
}

// maxChanges bounds the changes held ahead of documents. A document contains no more instances
// than that.
const maxChanges = MaxTypedResources

// Changes holds the newest change of each key ahead of a document. The zero value is empty.
type Changes struct{ byKey map[Key]Change }

// Len returns how many changes are held.
func (c *Changes) Len() int { return len(c.byKey) }

// Add adds the changes that are newer than the document of the given revision and than the held
// change of their key, and returns them.
func (c *Changes) Add(changes []Change, document Revision) (added []Change) {
	for _, change := range changes {
		held, known := c.byKey[change.Key]
		if change.Revision <= document || known && held.Revision >= change.Revision || !known && len(c.byKey) >= maxChanges {
			continue
		}
		if c.byKey == nil {
			c.byKey = make(map[Key]Change)
		}
		c.byKey[change.Key] = change
		added = append(added, change)
	}
	return added
}

// DropThrough drops the changes that are included in the document of a revision.
func (c *Changes) DropThrough(document Revision) {
	maps.DeleteFunc(c.byKey, func(_ Key, change Change) bool { return change.Revision <= document })
}

// Apply returns the content of a document with the later changes applied. As in a document, instances
// of services that the content does not name are left out.
func (c *Changes) Apply(content Content) Content {
	if len(c.byKey) == 0 {
		return content
	}
	unchanged := func(kind Kind, name string) bool {
		return c.byKey[Key{Kind: kind, Name: name}].Revision <= content.Revision
	}
	instances := filter(content.Instances, func(instance Instance) bool { return unchanged(KindInstance, instance.Name) })
	evacuations := filter(content.Evacuations, func(evacuation Evacuation) bool { return unchanged(KindEvacuation, evacuation.Zone) })
	for _, change := range c.byKey {
		switch {
		case change.Revision <= content.Revision:
		case change.Instance != nil && content.allowsService(change.Instance.Service):
			instances = append(instances, *change.Instance)
		case change.Evacuated:
			evacuations = append(evacuations, Evacuation{Zone: change.Key.Name})
		}
	}
	content.Instances = sortedByName(instances, instanceName)
	content.Evacuations = sortedByName(evacuations, evacuationName)
	return content
}

// BeforeEpoch returns the changes made before an epoch.
func (c *Changes) BeforeEpoch(epoch uint64) (found []Change) {
	for _, change := range c.byKey {
		if change.Revision.Epoch() < epoch {
			found = append(found, change)
		}
	}
	return found
}

// sinceEpoch returns the change of a key if it was made in the given epoch or later.
func (c *Changes) sinceEpoch(epoch uint64, key Key) (change Change, found bool) {
	change, found = c.byKey[key]
	return change, found && change.Revision.Epoch() >= epoch
}

// removedAfter returns the instances removed by changes later than a document, by name, with the
// revisions of these changes.
func (c *Changes) removedAfter(document Revision) map[string]Revision {
	var found map[string]Revision
	for key, change := range c.byKey {
		if key.Kind != KindInstance || change.Instance != nil || change.Revision <= document {
			continue
		}
		if found == nil {
			found = make(map[string]Revision)
		}
		found[key.Name] = change.Revision
	}
	return found
}

// allowsService reports whether instances of a service may be listed. All may if the content names
// no services.
func (c *Content) allowsService(service string) bool {
	return len(c.Services) == 0 || slices.ContainsFunc(c.Services, func(named Service) bool { return named.Name == service })
}

// filter returns the values that satisfy the predicate, in a new slice.
func filter[T any](values []T, predicate func(T) bool) []T {
	kept := make([]T, 0, len(values))
	for _, value := range values {
		if predicate(value) {
			kept = append(kept, value)
		}
	}
	return kept
}

// CompareChanges orders changes by revision, and changes of one revision by key.
func CompareChanges(a, b Change) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), compareKeys(a.Key, b.Key))
}

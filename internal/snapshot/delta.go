package snapshot

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
)

// The reasons why a delta cannot be applied; test with errors.Is. After either error the whole
// document has to be fetched.
var (
	// ErrWrongBase means that the delta is based on another version.
	ErrWrongBase = eris.New("the delta is based on another version")
	// ErrWrongContent means that the result does not have the target version.
	ErrWrongContent = eris.New("the delta does not produce its target version")
)

// IsWhole reports whether the delta carries a whole document.
func (d Delta) IsWhole() bool { return d.Base.IsZero() }

// Size returns the size in bytes of the names and bodies in the delta.
func (d Delta) Size() int {
	size := 0
	for _, resource := range d.Changed {
		size += len(resource.Key.Name) + len(resource.Body)
	}
	for _, key := range d.Removed {
		size += len(key.Name)
	}
	return size
}

// Diff returns the delta that turns base into target. If base is nil, the delta carries all of
// target.
func Diff(base, target *Document) Delta {
	if base == nil {
		return Delta{Target: target.version, Origin: target.content.Origin, Changed: slices.Clone(target.resources)}
	}
	delta := Delta{Base: base.version, Target: target.version, Origin: target.content.Origin}
	old, next := base.resources, target.resources
	for len(old) > 0 || len(next) > 0 {
		switch order := compareHeads(old, next); {
		case order < 0:
			delta.Removed = append(delta.Removed, old[0].Key)
			old = old[1:]
		case order > 0:
			delta.Changed = append(delta.Changed, next[0])
			next = next[1:]
		default:
			if !bytes.Equal(old[0].Body, next[0].Body) {
				delta.Changed = append(delta.Changed, next[0])
			}
			old, next = old[1:], next[1:]
		}
	}
	return delta
}

// compareHeads compares the first resources of two sorted lists; an empty list sorts last.
func compareHeads(a, b []Resource) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return compareResources(a[0], b[0])
	}
}

// Apply returns the document that results from applying the delta to base, which may be nil if
// d.Base is zero. The result has exactly the version d.Target; otherwise Apply returns an error:
// ErrWrongBase, ErrWrongContent or the reason why a resource is invalid. The document shares the
// bodies of the delta.
func (d Delta) Apply(base *Document) (*Document, error) {
	if d.IsWhole() {
		base = &Document{}
	}
	if base == nil || base.version != d.Base {
		return nil, eris.Wrapf(ErrWrongBase, "base %s", d.Base)
	}
	merged, err := d.merge(base)
	if err != nil {
		return nil, err
	}
	if err := checkResources(d.Target.Revision, merged.resources); err != nil {
		return nil, err
	}
	if hash := hashDigests(merged.digests); hash != d.Target.Hash {
		return nil, eris.Wrapf(ErrWrongContent, "got hash %s, want %s", hash, d.Target)
	}
	content, err := merged.decode(base)
	if err != nil {
		return nil, err
	}
	content.Revision, content.Origin = d.Target.Revision, d.Origin
	return &Document{version: d.Target, content: content, resources: merged.resources, digests: merged.digests}, nil
}

// mergedResources holds the sorted resources that result from a delta.
type mergedResources struct {
	resources []Resource
	digests   []resourceDigest
	// baseIndex holds the index of the same resource in base, or notInBase.
	baseIndex []int
}

const notInBase = -1

func (m *mergedResources) add(resource Resource, digest resourceDigest, baseIndex int) {
	m.resources = append(m.resources, resource)
	m.digests = append(m.digests, digest)
	m.baseIndex = append(m.baseIndex, baseIndex)
}

// merge returns base's resources with the removals and changes of the delta applied.
func (d Delta) merge(base *Document) (*mergedResources, error) {
	changed, removed, err := d.sorted()
	if err != nil {
		return nil, err
	}
	size := len(base.resources) + len(changed)
	merged := &mergedResources{
		resources: make([]Resource, 0, size), digests: make([]resourceDigest, 0, size), baseIndex: make([]int, 0, size),
	}
	for index, held := range base.resources {
		for len(changed) > 0 && compareResources(changed[0], held) < 0 {
			merged.add(changed[0], digestOf(changed[0]), notInBase)
			changed = changed[1:]
		}
		for len(removed) > 0 && compareKeys(removed[0], held.Key) < 0 {
			removed = removed[1:]
		}
		switch {
		case len(removed) > 0 && removed[0] == held.Key:
		case len(changed) > 0 && changed[0].Key == held.Key:
			if bytes.Equal(changed[0].Body, held.Body) {
				merged.add(held, base.digests[index], index)
			} else {
				merged.add(changed[0], digestOf(changed[0]), notInBase)
			}
			changed = changed[1:]
		default:
			merged.add(held, base.digests[index], index)
		}
	}
	for _, resource := range changed {
		merged.add(resource, digestOf(resource), notInBase)
	}
	return merged, nil
}

// sorted returns the changes and removals of the delta in order, or an error if it names a resource
// twice.
func (d Delta) sorted() (changed []Resource, removed []Key, err error) {
	changed, removed = slices.Clone(d.Changed), slices.Clone(d.Removed)
	slices.SortFunc(changed, compareResources)
	slices.SortFunc(removed, compareKeys)
	for i, resource := range changed {
		_, both := slices.BinarySearchFunc(removed, resource.Key, compareKeys)
		if both || i > 0 && changed[i-1].Key == resource.Key {
			return nil, nil, eris.Errorf("the delta names %s twice", resource.Key)
		}
	}
	return changed, removed, nil
}

// decode returns the content of the resources. Values of resources that are unchanged from base were
// decoded and checked before and are reused; a kind without any change shares base's slice.
func (m *mergedResources) decode(base *Document) (Content, error) {
	var content Content
	for start := 0; start < len(m.resources); {
		kind, end := m.resources[start].Key.Kind, start
		for end < len(m.resources) && m.resources[end].Key.Kind == kind {
			end++
		}
		if err := m.decodeKind(&content, base, kind, start, end); err != nil {
			return Content{}, err
		}
		start = end
	}
	return content, nil
}

// decodeKind decodes the resources of one kind, which are those from start to end.
func (m *mergedResources) decodeKind(content *Content, base *Document, kind Kind, start, end int) error {
	first, last := base.span(kind)
	if m.isUnchanged(start, end, first, last) {
		content.shareKind(&base.content, kind)
		return nil
	}
	content.reserve(kind, end-start)
	for at := start; at < end; at++ {
		if held := m.baseIndex[at]; held != notInBase {
			content.appendFromBase(&base.content, kind, held-first)
			continue
		}
		if err := appendDecoded(content, m.resources[at]); err != nil {
			return err
		}
	}
	return nil
}

// isUnchanged reports whether the resources from start to end are base's resources from first to
// last.
func (m *mergedResources) isUnchanged(start, end, first, last int) bool {
	if end-start != last-first {
		return false
	}
	for at := start; at < end; at++ {
		if m.baseIndex[at] != first+at-start {
			return false
		}
	}
	return true
}

// span returns the range of the resources of a kind.
func (d *Document) span(kind Kind) (start, end int) {
	start, _ = slices.BinarySearchFunc(d.resources, kind, compareToKind)
	end, _ = slices.BinarySearchFunc(d.resources, kind+1, compareToKind)
	return start, end
}

func compareToKind(resource Resource, kind Kind) int { return cmp.Compare(resource.Key.Kind, kind) }

// shareKind copies the slice of a kind without copying its values.
func (c *Content) shareKind(from *Content, kind Kind) {
	switch kind {
	case KindService:
		c.Services = from.Services
	case KindPolicy:
		c.Policies = from.Policies
	case KindSecret:
		c.Secrets = from.Secrets
	case KindRoute:
		c.Routes = from.Routes
	case KindInstance:
		c.Instances = from.Instances
	case KindLimits:
		c.Limits = from.Limits
	case KindEvacuation:
		c.Evacuations = from.Evacuations
	case KindTenant:
		c.Tenants = from.Tenants
	}
}

// reserve allocates room for the values of the kinds with many resources.
func (c *Content) reserve(kind Kind, count int) {
	switch kind {
	case KindRoute:
		c.Routes = make([]TypedRoute, 0, count)
	case KindInstance:
		c.Instances = make([]Instance, 0, count)
	case KindTenant:
		c.Tenants = make([]Tenant, 0, count)
	}
}

// appendFromBase appends the value at an index of the slice of its kind.
func (c *Content) appendFromBase(from *Content, kind Kind, at int) {
	switch kind {
	case KindService:
		c.Services = append(c.Services, from.Services[at])
	case KindPolicy:
		c.Policies = append(c.Policies, from.Policies[at])
	case KindSecret:
		c.Secrets = append(c.Secrets, from.Secrets[at])
	case KindRoute:
		c.Routes = append(c.Routes, from.Routes[at])
	case KindInstance:
		c.Instances = append(c.Instances, from.Instances[at])
	case KindLimits:
		c.Limits = from.Limits
	case KindEvacuation:
		c.Evacuations = append(c.Evacuations, from.Evacuations[at])
	case KindTenant:
		c.Tenants = append(c.Tenants, from.Tenants[at])
	}
}

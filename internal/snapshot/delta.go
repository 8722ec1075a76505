package snapshot

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"
)

// The reasons why a delta cannot be applied; test with errors.Is. After either
// one the whole document has to be fetched.
var (
	// ErrWrongBase means that the delta starts from another version.
	ErrWrongBase = eris.New("the delta starts from another version")
	// ErrWrongContent means that the result is not the promised version.
	ErrWrongContent = eris.New("the delta does not lead to the version it promises")
)

// IsWhole reports whether the delta carries a whole document.
func (d Delta) IsWhole() bool { return d.Base.IsZero() }

// Size returns the bytes of the names and bodies that the delta carries.
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

// Diff returns what turns base into target. base may be nil: the result then
// carries all of target.
func Diff(base, target *Document) Delta {
	if base == nil {
		return Delta{Target: target.version, Changed: slices.Clone(target.resources)}
	}
	delta := Delta{Base: base.version, Target: target.version}
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

// compareHeads orders the first resources of two sorted lists; an empty list
// comes last.
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

// Apply returns the document that the delta leads to. base may be nil when
// d.Base is zero. The result has exactly the version d.Target; otherwise Apply
// returns an error (ErrWrongBase, ErrWrongContent or what is wrong with a
// resource) and no document. The document keeps the bodies of the delta.
func (d Delta) Apply(base *Document) (*Document, error) {
	if d.IsWhole() {
		base = &Document{}
	}
	if base == nil || base.version != d.Base {
		return nil, eris.Wrapf(ErrWrongBase, "base %s", d.Base)
	}
	resources, err := d.merge(base)
	if err != nil {
		return nil, err
	}
	if err := checkResources(d.Target.Revision, resources); err != nil {
		return nil, err
	}
	if hash := hashResources(resources); hash != d.Target.Hash {
		return nil, eris.Wrapf(ErrWrongContent, "got hash %s, promised %s", hash, d.Target)
	}
	content, err := decodeContent(base, resources)
	if err != nil {
		return nil, err
	}
	content.Revision = d.Target.Revision
	return &Document{version: d.Target, content: content, resources: resources}, nil
}

// merge returns base's resources without the removed and with the changed ones.
func (d Delta) merge(base *Document) ([]Resource, error) {
	replaced := make(map[Key]bool, len(d.Changed)+len(d.Removed))
	for _, key := range d.Removed {
		replaced[key] = true
	}
	for _, resource := range d.Changed {
		if replaced[resource.Key] {
			return nil, eris.Errorf("the delta names %s twice", resource.Key)
		}
		replaced[resource.Key] = true
	}
	resources := make([]Resource, 0, len(base.resources)+len(d.Changed))
	for _, resource := range base.resources {
		if !replaced[resource.Key] {
			resources = append(resources, resource)
		}
	}
	resources = append(resources, d.Changed...)
	slices.SortFunc(resources, compareResources)
	return resources, nil
}

// decodeContent decodes the sorted resources; those that base holds with the
// same body were decoded and checked before and are taken from it.
func decodeContent(base *Document, resources []Resource) (Content, error) {
	var content Content
	for _, resource := range resources {
		if base.holds(resource) {
			appendHeld(&content, base, resource.Key)
			continue
		}
		if err := appendDecoded(&content, resource); err != nil {
			return Content{}, err
		}
	}
	return content, nil
}

func (d *Document) holds(resource Resource) bool {
	index, found := slices.BinarySearchFunc(d.resources, resource, compareResources)
	return found && bytes.Equal(d.resources[index].Body, resource.Body)
}

func appendHeld(content *Content, base *Document, key Key) {
	switch key.Kind {
	case KindService:
		service, _ := findByName(base.content.Services, key.Name, serviceName)
		content.Services = append(content.Services, service)
	case KindPolicy:
		policy, _ := findByName(base.content.Policies, key.Name, policyName)
		content.Policies = append(content.Policies, policy)
	case KindSecret:
		secret, _ := findByName(base.content.Secrets, key.Name, secretName)
		content.Secrets = append(content.Secrets, secret)
	case KindRoute:
		route, _ := findByName(base.content.Routes, key.Name, typedRouteName)
		content.Routes = append(content.Routes, route)
	case KindInstance:
		instance, _ := findByName(base.content.Instances, key.Name, instanceName)
		content.Instances = append(content.Instances, instance)
	case KindLimits:
		content.Limits = base.content.Limits
	}
}

package snapshot

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindPolicy:
		return "policy"
	case KindSecret:
		return "secret"
	case KindRoute:
		return "route"
	case KindInstance:
		return "instance"
	case KindLimits:
		return "limits"
	case KindEvacuation:
		return "evacuation"
	case KindTenant:
		return "tenant"
	default:
		return "resource of unknown kind"
	}
}

// String returns the kind and the name.
func (k Key) String() string { return k.Kind.String() + " " + k.Name }

// String returns only the key, as the body may contain a secret.
func (r Resource) String() string { return r.Key.String() }

// GoString hides the body from the %#v verb.
func (r Resource) GoString() string { return r.String() }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
}

func compareResources(a, b Resource) int { return compareKeys(a.Key, b.Key) }

// encode returns the canonical encoding of a resource that was checked before.
func encode(kind Kind, name string, value any) (Resource, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Resource{}, eris.Wrapf(err, "encode %s %q", kind, name)
	}
	return Resource{Key: Key{Kind: kind, Name: name}, Body: body}, nil
}

// decode decodes a body and rejects one that is not in canonical form, so that a content has only
// one encoding and one hash. Its errors never contain the body.
func decode[T any](resource Resource) (T, error) {
	var value T
	if err := json.Unmarshal(resource.Body, &value); err != nil {
		return value, canonicalError[T](resource)
	}
	if canonical, err := json.Marshal(value); err != nil || !bytes.Equal(canonical, resource.Body) {
		return value, canonicalError[T](resource)
	}
	return value, nil
}

// canonicalError returns an error that distinguishes a body that does not fit its type from a
// non-canonical encoding.
func canonicalError[T any](resource Resource) error {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(resource.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return eris.Errorf("%s: the body cannot be decoded", resource.Key)
	}
	return eris.Errorf("%s: the body is not in canonical form", resource.Key)
}

// encodeChecked checks a value and encodes it.
func encodeChecked[T any](kind Kind, name string, value T, check func(T) error) (Resource, error) {
	if err := check(value); err != nil {
		return Resource{}, err
	}
	return encode(kind, name, value)
}

// appendDecoded decodes and checks a received resource and appends its value to the content.
func appendDecoded(content *Content, resource Resource) error {
	switch resource.Key.Kind {
	case KindService:
		return appendValue(&content.Services, resource, serviceName, checkService)
	case KindPolicy:
		return appendValue(&content.Policies, resource, policyName, checkPolicy)
	case KindSecret:
		return appendValue(&content.Secrets, resource, secretName, checkSecret)
	case KindRoute:
		return appendValue(&content.Routes, resource, typedRouteName, checkTypedRoute)
	case KindInstance:
		return appendValue(&content.Instances, resource, instanceName, checkInstance)
	case KindLimits:
		return setLimits(content, resource)
	case KindEvacuation:
		return appendValue(&content.Evacuations, resource, evacuationName, checkEvacuation)
	case KindTenant:
		return appendValue(&content.Tenants, resource, tenantName, checkTenant)
	default:
		return eris.Errorf("resource %.64q has unknown kind %d", resource.Key.Name, resource.Key.Kind)
	}
}

func appendValue[T any](values *[]T, resource Resource, name func(T) string, check func(T) error) error {
	value, err := decode[T](resource)
	if err != nil {
		return err
	}
	if name(value) != resource.Key.Name {
		return eris.Errorf("%s: the name in the body differs from the key", resource.Key)
	}
	if err := check(value); err != nil {
		return err
	}
	*values = append(*values, value)
	return nil
}

func serviceName(service Service) string { return service.Name }

func policyName(policy Policy) string { return policy.Name }

func secretName(secret Secret) string { return secret.Name }

func sortedByName[T any](values []T, name func(T) string) []T {
	sorted := slices.Clone(values)
	slices.SortFunc(sorted, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return sorted
}

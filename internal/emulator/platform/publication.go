package platform

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Errors of the operators' write side.
var (
	ErrExists = eris.New("it exists already")
	ErrAbsent = eris.New("it does not exist")
)

// publication is one published revision in the form in which it is served.
type publication struct {
	content snapshot.Content
	version snapshot.Version
	body    []byte
	head    []byte
}

func newPublication(content snapshot.Content) (*publication, error) {
	document, err := snapshot.NewDocument(content)
	if err != nil {
		return nil, eris.Wrap(err, "publish")
	}
	published := &publication{content: content, version: document.Version()}
	if published.body, err = json.Marshal(content); err != nil {
		return nil, eris.Wrap(err, "encode the configuration")
	}
	if published.head, err = json.Marshal(published.version); err != nil {
		return nil, eris.Wrap(err, "encode the head")
	}
	return published, nil
}

func serviceName(service snapshot.Service) string { return service.Name }
func policyName(policy snapshot.Policy) string    { return policy.Name }
func secretName(secret snapshot.Secret) string    { return secret.Name }

// named returns a predicate for the resource of that name.
func named[T any](nameOf func(T) string, name string) func(T) bool {
	return func(resource T) bool { return nameOf(resource) == name }
}

// put replaces the resource of the same name or appends it.
func put[T any](resources *[]T, nameOf func(T) string, resource T) {
	at := slices.IndexFunc(*resources, named(nameOf, nameOf(resource)))
	if at < 0 {
		*resources = append(*resources, resource)
		return
	}
	(*resources)[at] = resource
}

// remove deletes the resource of that name or returns ErrAbsent.
func remove[T any](resources *[]T, nameOf func(T) string, name string) error {
	at := slices.IndexFunc(*resources, named(nameOf, name))
	if at < 0 {
		return eris.Wrapf(ErrAbsent, "%q", name)
	}
	*resources = slices.Delete(*resources, at, at+1)
	return nil
}

package platform

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Errors of changes to the configuration.
var (
	ErrExists   = eris.New("it exists already")
	ErrNotFound = eris.New("it does not exist")
)

// publication is a published revision and its encoded forms.
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

// hasName returns a function that reports whether a resource has the name.
func hasName[T any](nameOf func(T) string, name string) func(T) bool {
	return func(resource T) bool { return nameOf(resource) == name }
}

// upsert replaces the resource of the same name, or appends the resource.
func upsert[T any](resources *[]T, nameOf func(T) string, resource T) {
	at := slices.IndexFunc(*resources, hasName(nameOf, nameOf(resource)))
	if at < 0 {
		*resources = append(*resources, resource)
		return
	}
	(*resources)[at] = resource
}

// remove deletes the resource with the name, or returns ErrNotFound if there is none.
func remove[T any](resources *[]T, nameOf func(T) string, name string) error {
	at := slices.IndexFunc(*resources, hasName(nameOf, name))
	if at < 0 {
		return eris.Wrapf(ErrNotFound, "%q", name)
	}
	*resources = slices.Delete(*resources, at, at+1)
	return nil
}

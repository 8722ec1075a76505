package platform

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxWriteBytes is the maximum size of a request body.
const maxWriteBytes = 8 << 20

// OperatorHandler returns the operators' write API. Each change is answered with
// the version that it published:
//
//	POST   /v1/policies         {"name","program"}  submits or revises a policy
//	DELETE /v1/policies/{name}                      withdraws a policy
//	PUT    /v1/services/{name}  {"slots","connections"}
//	DELETE /v1/services/{name}
//	PUT    /v1/secrets/{name}   {"value"}
//	DELETE /v1/secrets/{name}
//	PUT    /v1/content          the whole configuration; its revision is ignored
//
// 404 means that no resource has the name, 400 that the body or its content is not
// valid.
func (p *Platform) OperatorHandler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/policies", handleChange(func(_ string, policy snapshot.Policy) (snapshot.Version, error) {
		return p.Change(func(content *snapshot.Content) error {
			upsert(&content.Policies, policyName, policy)
			return nil
		})
	}))
	router.Put("/v1/services/{name}", handleChange(func(name string, service snapshot.Service) (snapshot.Version, error) {
		service.Name = name
		return p.PutService(service)
	}))
	router.Put("/v1/secrets/{name}", handleChange(func(name string, secret snapshot.Secret) (snapshot.Version, error) {
		secret.Name = name
		return p.PutSecret(secret)
	}))
	router.Put("/v1/content", handleChange(func(_ string, content snapshot.Content) (snapshot.Version, error) {
		return p.SetContent(content)
	}))
	router.Delete("/v1/policies/{name}", handleDelete(p.Withdraw))
	router.Delete("/v1/services/{name}", handleDelete(p.DeleteService))
	router.Delete("/v1/secrets/{name}", handleDelete(p.DeleteSecret))
	return router
}

// handleChange returns a handler for requests with a resource in the body.
func handleChange[T any](apply func(name string, resource T) (snapshot.Version, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var resource T
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWriteBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&resource); err != nil {
			http.Error(w, "the body is not valid", http.StatusBadRequest)
			return
		}
		version, err := apply(chi.URLParam(r, "name"), resource)
		writeResult(w, version, err)
	}
}

// handleDelete returns a handler for requests that delete a resource.
func handleDelete(apply func(name string) (snapshot.Version, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		version, err := apply(chi.URLParam(r, "name"))
		writeResult(w, version, err)
	}
}

func writeResult(w http.ResponseWriter, version snapshot.Version, err error) {
	switch {
	case errors.Is(err, ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(version)
	}
}

package platform

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxWriteBytes bounds the body of one write.
const maxWriteBytes = 8 << 20

// OperatorHandler returns the operators' write side. Each change answers with
// the version it made:
//
//	POST   /v1/policies         {"name","program"}  submits, or revises the one of that name
//	DELETE /v1/policies/{name}                      withdraws
//	PUT    /v1/services/{name}  {"slots","connections"}
//	DELETE /v1/services/{name}
//	PUT    /v1/secrets/{name}   {"value"}
//	DELETE /v1/secrets/{name}
//	PUT    /v1/content          the whole configuration; its revision is ignored
//
// 404 tells that there is nothing of that name, 400 that the body is not valid.
func (p *Platform) OperatorHandler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/policies", change(func(_ string, policy snapshot.Policy) (snapshot.Version, error) {
		return p.Change(func(content *snapshot.Content) error {
			put(&content.Policies, policyName, policy)
			return nil
		})
	}))
	router.Put("/v1/services/{name}", change(func(name string, service snapshot.Service) (snapshot.Version, error) {
		service.Name = name
		return p.PutService(service)
	}))
	router.Put("/v1/secrets/{name}", change(func(name string, secret snapshot.Secret) (snapshot.Version, error) {
		secret.Name = name
		return p.PutSecret(secret)
	}))
	router.Put("/v1/content", change(func(_ string, content snapshot.Content) (snapshot.Version, error) {
		return p.SetContent(content)
	}))
	router.Delete("/v1/policies/{name}", withdrawal(p.Withdraw))
	router.Delete("/v1/services/{name}", withdrawal(p.DeleteService))
	router.Delete("/v1/secrets/{name}", withdrawal(p.DeleteSecret))
	return router
}

// change handles a request that carries a resource.
func change[T any](apply func(name string, resource T) (snapshot.Version, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var resource T
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWriteBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&resource); err != nil {
			http.Error(w, "the body is not valid", http.StatusBadRequest)
			return
		}
		version, err := apply(chi.URLParam(r, "name"), resource)
		reply(w, version, err)
	}
}

// withdrawal handles a request that removes a resource.
func withdrawal(apply func(name string) (snapshot.Version, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		version, err := apply(chi.URLParam(r, "name"))
		reply(w, version, err)
	}
}

func reply(w http.ResponseWriter, version snapshot.Version, err error) {
	switch {
	case errors.Is(err, ErrAbsent):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(version)
	}
}

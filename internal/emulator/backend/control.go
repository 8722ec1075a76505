package backend

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// Paths of the control API, which ControlHandler serves apart from the callers'
// endpoints.
const (
	PathBehavior   = "/control/behavior"   // GET, PUT Behavior
	PathStatistics = "/control/statistics" // GET Statistics
	PathJournal    = "/control/journal"    // GET JournalRecord, DELETE
	PathDrain      = "/control/drain"      // PUT, DELETE
)

// ControlHandler returns the control API. It also answers while the backend stalls or
// is killed.
func (b *Backend) ControlHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(PathBehavior, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, b.Behavior())
	})
	router.Put(PathBehavior, b.putBehavior)
	router.Get(PathStatistics, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, b.Statistics())
	})
	router.Get(PathJournal, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, b.journal.Record())
	})
	router.Delete(PathJournal, func(w http.ResponseWriter, _ *http.Request) {
		b.journal.Reset()
		w.WriteHeader(http.StatusNoContent)
	})
	router.Put(PathDrain, func(w http.ResponseWriter, _ *http.Request) {
		b.Drain()
		w.WriteHeader(http.StatusNoContent)
	})
	router.Delete(PathDrain, func(w http.ResponseWriter, _ *http.Request) {
		b.EndDrain()
		w.WriteHeader(http.StatusNoContent)
	})
	return router
}

func (b *Backend) putBehavior(w http.ResponseWriter, r *http.Request) {
	var behavior Behavior
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&behavior); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.Configure(behavior)
	w.WriteHeader(http.StatusNoContent)
}

// Package admin implements the admin API of a node (HTTP) and the client that the
// command line uses: health, readiness, metrics, status, the effective configuration
// and explanations. The API is read-only except for clearing requests suspected of
// crashing instances, and never shows the value of a secret.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// Paths of the admin API.
const (
	pathHealth        = "/healthz"
	pathReady         = "/readyz"
	pathMetrics       = "/metrics"
	pathStatus        = "/v1/status"
	pathFleet         = "/v1/fleet"
	pathConfiguration = "/v1/configuration"
	pathExplain       = "/v1/explain"
	pathMembers       = "/v1/members"
)

// Limits of the admin API.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	fleetTimeout   = 10 * time.Second
	maxHeaderBytes = 16 << 10
	// maxFleetQueries limits concurrent fleet-wide queries, as each opens a connection
	// to every member.
	maxFleetQueries = 2
	// maxRequests limits all other concurrent requests.
	maxRequests = 64
)

// Snapshots provides the configuration in force, or nil while there is none.
type Snapshots interface {
	Current() *snapshot.Snapshot
}

// Restores provides the last restore of the source that the node has seen.
type Restores interface {
	LastRestore() (restore configuration.Restore, seen bool)
}

// Options are the sources of what the admin API shows.
type Options struct {
	Zone      string
	Snapshots Snapshots
	Fleet     distribution.Fleet
	Status    distribution.StatusSource
	// Restores may be nil if the source is never restored.
	Restores Restores
	// Suspects holds the requests that may crash instances; nil means an empty tracker.
	Suspects *suspects.Tracker
	// Statements holds what instances stated about themselves; nil: nothing.
	Statements *statement.Tracker
	// Quota holds what the tenants used of their quotas; nil: nothing.
	Quota    TenantUsage
	Gatherer prometheus.Gatherer
	Logger   logrus.FieldLogger
}

// Server serves the admin API. It is an http.Handler.
type Server struct {
	options Options
	router  chi.Router
}

// New returns the admin API of one node.
func New(options Options) *Server {
	if options.Suspects == nil {
		options.Suspects = suspects.NewTracker()
	}
	if options.Statements == nil {
		options.Statements = statement.NewTracker()
	}
	server := &Server{options: options, router: chi.NewRouter()}
	server.router.Group(func(router chi.Router) {
		router.Use(middleware.Throttle(maxRequests))
		router.Get(pathHealth, server.health)
		router.Get(pathReady, server.ready)
		router.Method(http.MethodGet, pathMetrics, promhttp.HandlerFor(options.Gatherer, promhttp.HandlerOpts{}))
		router.Get(pathStatus, server.status)
		router.Get(pathConfiguration, server.configuration)
		router.Get(pathExplain, server.explain)
		router.Get(pathMembers, server.members)
		router.Get(pathTenants, server.tenants)
		router.Get(pathFaults, server.faults)
		router.Get(pathStatements, server.statements)
		router.Get(pathSuspects, server.suspects)
		router.Post(pathClearSuspect, server.clearSuspect)
	})
	server.router.With(middleware.Throttle(maxFleetQueries)).Get(pathFleet, server.fleet)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// HTTPServer returns an http.Server that serves the API with its limits.
func (s *Server) HTTPServer() *http.Server { return newHTTPServer(s) }

// MetricsServer returns an http.Server that serves only the metrics, for networks
// on which nothing else of the admin API may be read.
func (s *Server) MetricsServer() *http.Server {
	router := chi.NewRouter()
	router.Use(middleware.Throttle(maxRequests))
	router.Method(http.MethodGet, pathMetrics, promhttp.HandlerFor(s.options.Gatherer, promhttp.HandlerOpts{}))
	return newHTTPServer(router)
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "alive\n")
}

// ready reports whether the node accepts new requests: it holds a version and
// announces that it is ready.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status := s.options.Status.Status()
	switch {
	case status.Held.IsZero():
		writeText(w, http.StatusServiceUnavailable, "not ready: holds no configuration version yet\n")
	case status.State != membership.StateReady:
		writeText(w, http.StatusServiceUnavailable, "not ready: the node is "+status.State.String()+"\n")
	default:
		writeText(w, http.StatusOK, "ready: holds "+status.Held.String()+"\n")
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.write(w, http.StatusOK, newNodeStatus(s.options.Status.Status()))
}

func (s *Server) fleet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), fleetTimeout)
	defer cancel()
	fleet := newFleetStatus(s.options.Status.QueryAll(ctx))
	fleet.Restore = s.lastRestore()
	s.write(w, http.StatusOK, fleet)
}

// lastRestore returns the last restore of the source, or nil if there was none.
func (s *Server) lastRestore() *Restore {
	if s.options.Restores == nil {
		return nil
	}
	restore, seen := s.options.Restores.LastRestore()
	if !seen {
		return nil
	}
	return &Restore{
		From: restore.From, To: restore.To, Age: Duration(restore.Age.Round(time.Millisecond)),
		Retained: restore.Retained, RetainedFor: Duration(restore.RetainedFor.Round(time.Millisecond)),
	}
}

func (s *Server) configuration(w http.ResponseWriter, _ *http.Request) {
	s.write(w, http.StatusOK, newConfiguration(s.options.Snapshots.Current()))
}

func (s *Server) members(w http.ResponseWriter, _ *http.Request) {
	s.write(w, http.StatusOK, newMemberList(s.options.Fleet.View()))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	request, problem := parseExplainRequest(r)
	if problem != "" {
		s.write(w, http.StatusBadRequest, ErrorResponse{Error: problem})
		return
	}
	current := s.options.Snapshots.Current()
	if current == nil {
		s.write(w, http.StatusServiceUnavailable, ErrorResponse{Error: "the node holds no configuration version yet"})
		return
	}
	explanation := explain(request, current, s.options.Fleet.View(), s.options.Zone)
	explanation.Node = s.options.Status.Status().Node
	s.write(w, http.StatusOK, explanation)
}

// parseExplainRequest parses the query of /v1/explain. It returns a problem if the
// query is invalid.
func parseExplainRequest(r *http.Request) (ExplainRequest, string) {
	query := r.URL.Query()
	request := ExplainRequest{
		Method: query.Get(queryMethod),
		Host:   query.Get(queryHost),
		Path:   query.Get(queryPath),
		Header: http.Header{},
	}
	if request.Method == "" || !strings.HasPrefix(request.Path, "/") {
		return request, "give the query a method and a path that starts with /"
	}
	for _, line := range query[queryHeader] {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return request, "write a header as NAME:VALUE"
		}
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return request, ""
}

func (s *Server) write(w http.ResponseWriter, code int, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(response); err != nil {
		s.options.Logger.WithError(err).Debug("could not write a response of the admin API")
	}
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text))
}

package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// maxWait is the longest time that a read is held, whatever it asks for.
const maxWait = time.Minute

// view is what the platform serves to one client at one time.
type view struct {
	fault     Fault
	published *publication
	members   *encodedList
	changed   <-chan struct{} // closed when the view is out of date
}

// Handler returns the read API, which is the protocol published in package source.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(source.HeadPath, p.limitReaders(p.serveHead))
	router.Get(source.ConfigurationPath, p.limitReaders(p.serveConfiguration))
	router.Get(source.MembersPath, p.serveMembers)
	return router
}

// limitReaders counts the client as a reader while next runs, or answers 429 if there
// are too many readers.
func (p *Platform) limitReaders(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.counts.configuration.Add(1)
		client := clientOf(r)
		admitted := p.readers.begin(client, time.Now())
		defer func() { p.readers.end(client, admitted, time.Now()) }()
		if !admitted {
			p.counts.refused.Add(1)
			p.sendRetryAfter(w, http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (p *Platform) serveHead(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(withDefault(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	newer := func(v view) bool { return v.published.version.Revision > snapshot.Revision(after) }
	if current, ok := p.await(w, r, ServiceConfiguration, newer); ok {
		send(w, r, current.fault, current.published.head)
	}
}

func (p *Platform) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	current, ok := p.await(w, r, ServiceConfiguration, func(view) bool { return true })
	if !ok {
		return
	}
	etag := source.ETag(current.published.version)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag && !current.fault.affectsBody() {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	send(w, r, current.fault, current.published.body)
}

func (p *Platform) serveMembers(w http.ResponseWriter, r *http.Request) {
	p.counts.members.Add(1)
	held := r.Header.Get("If-None-Match")
	differs := func(v view) bool { return v.members.etag != held }
	current, ok := p.await(w, r, ServiceMembers, differs)
	if !ok {
		return
	}
	w.Header().Set("ETag", current.members.etag)
	if current.members.etag == held && !current.fault.affectsBody() {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	send(w, r, current.fault, current.members.body)
}

// await holds the request until the client's view is ready or the requested wait has
// passed, and returns the view. It returns false if the request is answered already
// or the client has gone.
func (p *Platform) await(w http.ResponseWriter, r *http.Request, service Service, ready func(view) bool) (view, bool) {
	wait, err := waitParameter(r)
	if err != nil {
		http.Error(w, "wait: want a duration", http.StatusBadRequest)
		return view{}, false
	}
	p.counts.waiting.Add(1)
	defer p.counts.waiting.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := wait == 0; ; {
		current, err := p.viewFor(service, clientOf(r))
		if err != nil {
			http.Error(w, "internal error", http.StatusInternalServerError)
			return view{}, false
		}
		if p.answerFault(w, current.fault) {
			return view{}, false
		}
		if current.fault.Kind != FaultStall && (waited || ready(current)) {
			return current, true
		}
		select {
		case <-current.changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return view{}, false
		}
	}
}

// viewFor returns the current view of a client of a service.
func (p *Platform) viewFor(service Service, client string) (view, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	members, err := p.members.encode()
	if err != nil {
		return view{}, err
	}
	current := view{
		fault:     p.faults.lookup(service, client),
		published: p.latest(),
		members:   members,
		changed:   p.changed,
	}
	switch current.fault.Kind {
	case FaultStale:
		current.published = p.publicationAt(current.fault.Revision)
	case FaultConflict:
		current.published, err = conflictingPublication(current.published)
	}
	return current, err
}

// publicationAt returns the newest publication whose revision is not above the given
// one, or else the oldest; the mutex is held.
func (p *Platform) publicationAt(revision snapshot.Revision) *publication {
	for index := len(p.history) - 1; index > 0; index-- {
		if p.history[index].version.Revision <= revision {
			return p.history[index]
		}
	}
	return p.history[0]
}

// answerFault answers the request if the fault gives no data, and reports whether it
// did.
func (p *Platform) answerFault(w http.ResponseWriter, fault Fault) bool {
	switch fault.Kind {
	case FaultUnavailable:
		p.counts.failed.Add(1)
		p.sendRetryAfter(w, http.StatusServiceUnavailable)
		return true
	case FaultReset:
		p.counts.failed.Add(1)
		reset(w)
		return true
	default:
		return false
	}
}

func (p *Platform) sendRetryAfter(w http.ResponseWriter, status int) {
	seconds := int64((p.options.RetryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	w.WriteHeader(status)
}

func waitParameter(r *http.Request) (time.Duration, error) {
	wait, err := time.ParseDuration(withDefault(r.URL.Query().Get("wait"), "0s"))
	if err != nil || wait < 0 {
		return 0, eris.New("not a duration")
	}
	return min(wait, maxWait), nil
}

func withDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

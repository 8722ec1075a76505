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

// maxWait bounds how long a read may ask to be held.
const maxWait = time.Minute

// offer is what the platform shows to one client at one time.
type offer struct {
	fault     Fault
	published *publication
	members   *servedList
	changed   <-chan struct{} // closed when the offer is out of date
}

// Handler returns the read side: the published protocol.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(source.HeadPath, p.limited(p.serveHead))
	router.Get(source.ConfigurationPath, p.limited(p.serveConfiguration))
	router.Get(source.MembersPath, p.serveMembers)
	return router
}

// limited counts the client as a reader while next runs, or refuses it.
func (p *Platform) limited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.counts.configuration.Add(1)
		client := clientOf(r)
		admitted := p.readers.enter(client, time.Now())
		defer func() { p.readers.leave(client, admitted, time.Now()) }()
		if !admitted {
			p.counts.refused.Add(1)
			p.sendBusy(w, http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (p *Platform) serveHead(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(defaulted(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	newer := func(o offer) bool { return o.published.version.Revision > snapshot.Revision(after) }
	if shown, ok := p.await(w, r, ServiceConfiguration, newer); ok {
		send(w, r, shown.fault, shown.published.head)
	}
}

func (p *Platform) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	shown, ok := p.await(w, r, ServiceConfiguration, func(offer) bool { return true })
	if !ok {
		return
	}
	etag := source.ETag(shown.published.version)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag && !shown.fault.spoilsBody() {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	send(w, r, shown.fault, shown.published.body)
}

func (p *Platform) serveMembers(w http.ResponseWriter, r *http.Request) {
	p.counts.members.Add(1)
	held := r.Header.Get("If-None-Match")
	differs := func(o offer) bool { return o.members.etag != held }
	shown, ok := p.await(w, r, ServiceMembers, differs)
	if !ok {
		return
	}
	w.Header().Set("ETag", shown.members.etag)
	if shown.members.etag == held && !shown.fault.spoilsBody() {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	send(w, r, shown.fault, shown.members.body)
}

// await returns the offer once it is ready or the requested wait is over. It
// returns false when a fault has answered or the client has gone.
func (p *Platform) await(w http.ResponseWriter, r *http.Request, service Service, ready func(offer) bool) (offer, bool) {
	wait, err := waitOf(r)
	if err != nil {
		http.Error(w, "wait: want a duration", http.StatusBadRequest)
		return offer{}, false
	}
	p.counts.waiting.Add(1)
	defer p.counts.waiting.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := wait == 0; ; {
		shown, err := p.look(service, clientOf(r))
		if err != nil {
			http.Error(w, "internal error", http.StatusInternalServerError)
			return offer{}, false
		}
		if p.refuse(w, shown.fault) {
			return offer{}, false
		}
		if shown.fault.Kind != FaultStall && (over || ready(shown)) {
			return shown, true
		}
		select {
		case <-shown.changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return offer{}, false
		}
	}
}

// look returns what the client is shown now.
func (p *Platform) look(service Service, client string) (offer, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	members, err := p.members.serve()
	if err != nil {
		return offer{}, err
	}
	shown := offer{
		fault:     p.faults.of(service, client),
		published: p.latest(),
		members:   members,
		changed:   p.changed,
	}
	switch shown.fault.Kind {
	case FaultStale:
		shown.published = p.at(shown.fault.Revision)
	case FaultConflict:
		shown.published, err = conflicting(shown.published)
	}
	return shown, err
}

// at returns the newest publication that is not above the revision, or else the
// oldest; the mutex is held.
func (p *Platform) at(revision snapshot.Revision) *publication {
	for index := len(p.history) - 1; index > 0; index-- {
		if p.history[index].version.Revision <= revision {
			return p.history[index]
		}
	}
	return p.history[0]
}

// refuse answers for the faults that give no data and reports whether it did.
func (p *Platform) refuse(w http.ResponseWriter, fault Fault) bool {
	switch fault.Kind {
	case FaultUnavailable:
		p.counts.failed.Add(1)
		p.sendBusy(w, http.StatusServiceUnavailable)
		return true
	case FaultReset:
		p.counts.failed.Add(1)
		reset(w)
		return true
	default:
		return false
	}
}

func (p *Platform) sendBusy(w http.ResponseWriter, status int) {
	seconds := int64((p.options.RetryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	w.WriteHeader(status)
}

func waitOf(r *http.Request) (time.Duration, error) {
	wait, err := time.ParseDuration(defaulted(r.URL.Query().Get("wait"), "0s"))
	if err != nil || wait < 0 {
		return 0, eris.New("not a duration")
	}
	return min(wait, maxWait), nil
}

func defaulted(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

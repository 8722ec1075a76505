package backend

import (
	"encoding/json"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/report"
)

// loadHistorySize is the number of load changes that are kept.
const loadHistorySize = 4096

// loadHistory keeps the latest changes of the load in a ring buffer, for load reports
// that lag.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
	next    int
}

type loadSample struct {
	at       time.Time
	inFlight int
}

func (h *loadHistory) record(inFlight int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sample := loadSample{at: time.Now(), inFlight: int(inFlight)}
	if len(h.samples) < loadHistorySize {
		h.samples = append(h.samples, sample)
		return
	}
	h.samples[h.next] = sample
	h.next = (h.next + 1) % loadHistorySize
}

// at returns the load at the given time: that of the latest change not after it.
func (h *loadHistory) at(moment time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var latest loadSample
	for _, sample := range h.samples {
		if !sample.at.After(moment) && !sample.at.Before(latest.at) {
			latest = sample
		}
	}
	return latest.inFlight
}

// statusAt returns the true status at the given time.
func (b *Backend) statusAt(moment time.Time) report.Status {
	if since := b.draining.Load(); since != 0 && moment.UnixNano() >= since {
		return report.StatusDraining
	}
	started := b.startedAt.Load()
	if started == 0 {
		return report.StatusReady
	}
	if moment.Before(time.Unix(0, started).Add(b.options.ColdSlow)) && b.options.ColdSlow > 0 {
		return report.StatusStarting
	}
	return report.StatusReady
}

func (b *Backend) serveHealth(w http.ResponseWriter, r *http.Request) {
	behavior := b.Behavior()
	status := b.statusAt(time.Now().Add(-behavior.HealthLag.Duration()))
	switch behavior.Health {
	case HealthStall:
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case HealthReady, HealthFailing, HealthDraining:
		status = report.Status(behavior.Health)
	}
	code := http.StatusOK
	if status != report.StatusReady {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, report.Health{Status: status})
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	behavior := b.Behavior()
	load := report.Load{Slots: b.options.Slots}
	if behavior.FalseLoad != nil {
		load.InFlight = int(math.Round(*behavior.FalseLoad * float64(load.Slots)))
	} else {
		load.InFlight = b.loads.at(time.Now().Add(-behavior.LoadLag.Duration()))
	}
	writeJSON(w, http.StatusOK, load)
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value) // fails only when the client has gone
}

package suspects

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/clock"
)

// InProgress is a request that was in progress at a crash.
type InProgress struct {
	Fingerprint Fingerprint
	// Probe says that it was sent under suspicion.
	Probe bool
}

// Ledger is the Book of one node with what it tells the others. It is safe for concurrent
// use. While nothing stands against any request it costs one atomic load.
type Ledger struct {
	// spread tells other nodes of records that changed here.
	spread func([]Crash)
	now    func() time.Time

	occupied atomic.Bool
	mutex    sync.Mutex
	book     *Book
}

// NewLedger returns an empty Ledger that tells nobody.
func NewLedger() *Ledger {
	return &Ledger{spread: func([]Crash) {}, now: clock.Now, book: NewBook()}
}

// SpreadBy sets what tells other nodes of records that change here. It is called before the
// Ledger is used.
func (l *Ledger) SpreadBy(spread func([]Crash)) { l.spread = spread }

// IsEmpty reports whether nothing stands against any request.
func (l *Ledger) IsEmpty() bool { return !l.occupied.Load() }

// Assess returns the standing of requests of a content.
func (l *Ledger) Assess(content Fingerprint) Assessment {
	if l.IsEmpty() {
		return Assessment{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.Assess(content, l.now())
}

// Crashed notes the crash of an instance and tells other nodes of it.
func (l *Ledger) Crashed(instance string, running []InProgress) {
	l.mutex.Lock()
	now := l.now()
	crash := Crash{ID: CrashID(rand.Uint64()), Instance: instance, At: now}
	probed := l.onlyProbe(running, now)
	for _, each := range running {
		if len(crash.Requests) < MaxRequests && crash.find(each.Fingerprint) == nil {
			crash.Requests = append(crash.Requests, Request{Fingerprint: each.Fingerprint, Probed: probed != nil && *probed == each.Fingerprint})
		}
	}
	news := l.book.Merge([]Crash{crash}, now)
	l.occupied.Store(!l.book.IsEmpty())
	l.mutex.Unlock()
	l.spread(news)
}

// onlyProbe returns the content that is being probed, if no other suspect was in progress beside it. The
// mutex is held.
func (l *Ledger) onlyProbe(running []InProgress, now time.Time) *Fingerprint {
	var probed *Fingerprint
	for i := range running {
		each := &running[i]
		switch {
		case probed != nil && *probed == each.Fingerprint:
		case each.Probe && probed == nil:
			probed = &each.Fingerprint
		case each.Probe, l.book.Assess(each.Fingerprint, now).Standing != Clear:
			return nil
		}
	}
	return probed
}

// Answered clears the content of a request that an instance answered.
func (l *Ledger) Answered(content Fingerprint) {
	if l.IsEmpty() {
		return
	}
	l.mutex.Lock()
	news := l.book.Answered(content)
	l.occupied.Store(!l.book.IsEmpty())
	l.mutex.Unlock()
	if len(news) > 0 {
		l.spread(news)
	}
}

// Learn takes over records of other nodes.
func (l *Ledger) Learn(crashes []Crash) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.Merge(crashes, l.now())
	l.occupied.Store(!l.book.IsEmpty())
}

// Assessed is a content with its assessment.
type Assessed struct {
	Fingerprint Fingerprint
	Assessment
}

// Assessed returns all contents that something stands against, in the order of their
// fingerprints.
func (l *Ledger) Assessed() []Assessed {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.assessed(l.now())
}

// Count returns how many contents have a standing.
func (l *Ledger) Count(standing Standing) (count int) {
	for _, each := range l.Assessed() {
		if each.Standing == standing {
			count++
		}
	}
	return count
}

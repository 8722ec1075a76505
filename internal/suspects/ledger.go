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
	// Trial says that it was sent under suspicion.
	Trial bool
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

// Judge returns the standing of requests of a content.
func (l *Ledger) Judge(content Fingerprint) Judgement {
	if l.IsEmpty() {
		return Judgement{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.Judge(content, l.now())
}

// Crashed notes the crash of an instance. It returns the record.
func (l *Ledger) Crashed(instance string, running []InProgress) Crash {
	l.mutex.Lock()
	now := l.now()
	crash := Crash{ID: CrashID(rand.Uint64()), Instance: instance, At: now}
	tried := l.onlyTrial(running, now)
	for _, each := range running {
		if len(crash.Requests) < MaxRequests && crash.find(each.Fingerprint) == nil {
			crash.Requests = append(crash.Requests, Request{Fingerprint: each.Fingerprint, Tried: tried != nil && *tried == each.Fingerprint})
		}
	}
	news := l.book.Merge([]Crash{crash}, now)
	l.occupied.Store(!l.book.IsEmpty())
	l.mutex.Unlock()
	l.spread(news)
	return crash
}

// onlyTrial returns the content on trial, if no other suspect was in progress beside it. The
// mutex is held.
func (l *Ledger) onlyTrial(running []InProgress, now time.Time) *Fingerprint {
	var tried *Fingerprint
	for i := range running {
		each := &running[i]
		switch {
		case tried != nil && *tried == each.Fingerprint:
		case each.Trial && tried == nil:
			tried = &each.Fingerprint
		case each.Trial, l.book.Judge(each.Fingerprint, now).Standing != Clear:
			return nil
		}
	}
	return tried
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

// Judged is a content with its judgement.
type Judged struct {
	Fingerprint Fingerprint
	Judgement
}

// Judged returns all contents that something stands against, in the order of their
// fingerprints.
func (l *Ledger) Judged() []Judged {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.judged(l.now())
}

// Count returns how many contents have a standing.
func (l *Ledger) Count(standing Standing) (count int) {
	for _, each := range l.Judged() {
		if each.Standing == standing {
			count++
		}
	}
	return count
}

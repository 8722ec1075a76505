// Package repeats tells apart what a node sends to the instances of a service: first
// sends, repeats and after what, and calls of runs that were repeats themselves. It
// writes one line of the log a second and service that had any but first sends.
package repeats

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Kind tells whether an instance got the request before, and what came of it.
type Kind string

// The kinds.
const (
	First Kind = "first"
	// AfterRejection: an instance said that it did not run the request.
	AfterRejection Kind = "after_rejection"
	// AfterFailure: an instance answered that the request failed.
	AfterFailure Kind = "after_failure"
	// AfterUnknown: an instance got the request and gave no valid answer.
	AfterUnknown Kind = "after_unknown"
)

// Message is the text of the lines.
const Message = "sends of a second"

// Fields of the lines, besides those named like a Kind.
const (
	FieldService = "service"
	FieldSecond  = "second"
	// FieldInherited counts the first sends that are calls of repeated runs, as estimated.
	FieldInherited = "calls_of_repeats"
	// FieldStopped counts the repeats that the bound did not allow.
	FieldStopped = "stopped"
	// FieldSpent and FieldAllowed are what this node used and may use of the bound in the
	// window that ends now.
	FieldSpent   = "spent"
	FieldAllowed = "allowed"
)

const (
	// maxServices bounds the services of a second.
	maxServices = 1000
	// leastInherited is from how many estimated calls of repeated runs a line is written.
	leastInherited = 0.5
)

// Account tells how much of the bound of a service this node used in the window that
// ends now, and how much it may use.
type Account func(service string, now time.Time) (spent, allowed float64)

// Ledger sums up sends. It is safe for concurrent use.
type Ledger struct {
	logger  logrus.FieldLogger
	account Account

	mutex    sync.Mutex
	second   time.Time
	services map[string]*sums
}

// sums are those of one service in one second.
type sums struct {
	kinds     map[Kind]int
	inherited float64
	stopped   int
}

// isNews reports whether there was anything but first sends.
func (s *sums) isNews() bool {
	return s.stopped > 0 || s.inherited >= leastInherited || len(s.kinds) > 1 || len(s.kinds) == 1 && s.kinds[First] == 0
}

// New returns a Ledger that writes by the logger.
func New(logger logrus.FieldLogger, account Account) *Ledger {
	return &Ledger{logger: logger, account: account, services: make(map[string]*sums)}
}

// Sent notes a send that reached an instance. inherited is the probability that it is a
// call of a repeated run; it counts for first sends only.
func (l *Ledger) Sent(service string, kind Kind, inherited float64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	found := l.of(service)
	if found == nil {
		return
	}
	found.kinds[kind]++
	if kind == First {
		found.inherited += inherited
	}
}

// Stopped notes a repeat that the bound did not allow.
func (l *Ledger) Stopped(service string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	if found := l.of(service); found != nil {
		found.stopped++
	}
}

// Flush writes the lines of a second that is over.
func (l *Ledger) Flush(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
}

// of returns nil when there are too many services. The mutex is held.
func (l *Ledger) of(service string) *sums {
	found := l.services[service]
	if found == nil && len(l.services) < maxServices {
		found = &sums{kinds: make(map[Kind]int)}
		l.services[service] = found
	}
	return found
}

// advance writes the lines of the former second. The mutex is held.
func (l *Ledger) advance(now time.Time) {
	current := now.Truncate(time.Second)
	if current.Equal(l.second) {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(l.services)) {
		if found := l.services[service]; found.isNews() {
			l.write(service, found, now)
		}
	}
	l.second = current
	clear(l.services)
}

func (l *Ledger) write(service string, found *sums, now time.Time) {
	spent, allowed := l.account(service, now)
	fields := logrus.Fields{
		FieldService: service, FieldSecond: l.second.UTC().Format(time.RFC3339),
		FieldInherited: tenths(found.inherited), FieldStopped: found.stopped,
		FieldSpent: tenths(spent), FieldAllowed: tenths(allowed),
	}
	for kind, count := range found.kinds {
		fields[string(kind)] = count
	}
	l.logger.WithFields(fields).Info(Message)
}

// tenths rounds to one digit after the point.
func tenths(value float64) float64 { return math.Round(value*10) / 10 }

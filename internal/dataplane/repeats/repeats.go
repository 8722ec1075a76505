// Package repeats counts what a node sends to the instances of a service: first sends,
// repeats by their cause, and calls made by requests that were repeats themselves. It logs
// one line per second for each service that had anything but first sends.
package repeats

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Kind is whether an instance got the request before, and with which result.
type Kind string

// The kinds.
const (
	First Kind = "first"
	// AfterRejection: an instance reported that it did not execute the request.
	AfterRejection Kind = "after_rejection"
	// AfterFailure: an instance answered that the request failed.
	AfterFailure Kind = "after_failure"
	// AfterUnknown: an instance got the request and gave no valid answer.
	AfterUnknown Kind = "after_unknown"
)

// Message is the message of the log lines.
const Message = "sends of a second"

// Fields of the log lines, in addition to one field per Kind.
const (
	FieldService = "service"
	FieldSecond  = "second"
	// FieldInherited is the estimated number of first sends that are calls made by repeated
	// requests.
	FieldInherited = "calls_of_repeats"
	// FieldStopped is the number of repeats that the bound did not allow.
	FieldStopped = "stopped"
	// FieldSpent and FieldAllowed are the number of repeats that this node made and may make
	// within the bound in the window that ends now.
	FieldSpent   = "spent"
	FieldAllowed = "allowed"
)

const (
	// maxServices limits the number of services per second.
	maxServices = 1000
	// minInherited is the estimated number of calls made by repeated requests from which a
	// line is logged.
	minInherited = 0.5
)

// Account returns how many repeats this node made for a service in the window that ends
// now, and how many its bound allows.
type Account func(service string, now time.Time) (spent, allowed float64)

// Ledger aggregates sends. It is safe for concurrent use.
type Ledger struct {
	logger  logrus.FieldLogger
	account Account

	mutex    sync.Mutex
	second   time.Time
	services map[string]*serviceTotals
}

// serviceTotals holds the totals of one service in one second.
type serviceTotals struct {
	kinds     map[Kind]int
	inherited float64
	stopped   int
}

// hasRepeats reports whether there was anything but first sends.
func (s *serviceTotals) hasRepeats() bool {
	return s.stopped > 0 || s.inherited >= minInherited || len(s.kinds) > 1 || len(s.kinds) == 1 && s.kinds[First] == 0
}

// New returns a Ledger that writes to the logger.
func New(logger logrus.FieldLogger, account Account) *Ledger {
	return &Ledger{logger: logger, account: account, services: make(map[string]*serviceTotals)}
}

// Sent records a send that reached an instance. inherited is the probability that it is a
// call made by a repeated request; it is only used for first sends.
func (l *Ledger) Sent(service string, kind Kind, inherited float64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	found := l.totalsOf(service)
	if found == nil {
		return
	}
	found.kinds[kind]++
	if kind == First {
		found.inherited += inherited
	}
}

// Stopped records a repeat that the bound did not allow.
func (l *Ledger) Stopped(service string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	if found := l.totalsOf(service); found != nil {
		found.stopped++
	}
}

// Flush writes the lines of the last second if it is over.
func (l *Ledger) Flush(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
}

// totalsOf returns the totals of a service, or nil if there are too many services. The
// caller must hold the mutex.
func (l *Ledger) totalsOf(service string) *serviceTotals {
	found := l.services[service]
	if found == nil && len(l.services) < maxServices {
		found = &serviceTotals{kinds: make(map[Kind]int)}
		l.services[service] = found
	}
	return found
}

// advance writes the lines of the last second if it is over. The caller must hold the mutex.
func (l *Ledger) advance(now time.Time) {
	current := now.Truncate(time.Second)
	if current.Equal(l.second) {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(l.services)) {
		if found := l.services[service]; found.hasRepeats() {
			l.write(service, found, now)
		}
	}
	l.second = current
	clear(l.services)
}

func (l *Ledger) write(service string, found *serviceTotals, now time.Time) {
	spent, allowed := l.account(service, now)
	fields := logrus.Fields{
		FieldService: service, FieldSecond: l.second.UTC().Format(time.RFC3339),
		FieldInherited: roundToTenth(found.inherited), FieldStopped: found.stopped,
		FieldSpent: roundToTenth(spent), FieldAllowed: roundToTenth(allowed),
	}
	for kind, count := range found.kinds {
		fields[string(kind)] = count
	}
	l.logger.WithFields(fields).Info(Message)
}

// roundToTenth rounds to one decimal place.
func roundToTenth(value float64) float64 { return math.Round(value*10) / 10 }

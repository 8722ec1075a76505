// Package losses aggregates, per second and route, which requests did not end in time, why,
// and where their time was spent. It logs one line per second for each route with losses.
package losses

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Ending is how a request ended for its caller.
type Ending string

// The endings.
const (
	InTime Ending = "in_time"
	Late   Ending = "late"
	// Refused: the request was not executed, and its caller was told when to retry.
	Refused Ending = "refused"
	// RefusedAgain: like Refused, for a caller that had been refused before.
	RefusedAgain Ending = "refused_again"
	// Failed: the instance answered with a failure.
	Failed Ending = "failed"
	// Unknown: the request may have been executed.
	Unknown Ending = "unknown"
	// GivenUp: the caller cancelled the request before it was answered.
	GivenUp Ending = "given_up"
)

// Endings returns all endings in the order in which reports list them.
func Endings() []Ending {
	return []Ending{InTime, Late, Refused, RefusedAgain, Failed, Unknown, GivenUp}
}

// Times is how the time of a request was spent.
type Times struct {
	// Waiting is the wait time for a slot or a link, Instance the processing time at the
	// instance, and BetweenNodes the time between nodes, each for the last send. EarlierSends is the
	// time of all earlier sends.
	Waiting, Instance, BetweenNodes, EarlierSends time.Duration
}

// Request is the result of one request.
type Request struct {
	Route, Service string
	Ending         Ending
	// Reason is why the request was not answered; empty for none.
	Reason string
	// Instance is the last instance to which the request was sent.
	Instance string
	Times    Times
	// Priority is the effective priority of the request.
	Priority int
}

// Message is the message of the log lines.
const Message = "losses of a second"

// Fields of the log lines, in addition to one field per Ending.
const (
	FieldRoute     = "route"
	FieldService   = "service"
	FieldSecond    = "second"
	FieldReasons   = "reasons"
	FieldInstances = "instances"
	FieldWaiting   = "waiting_ms"
	FieldInstance  = "instance_ms"
	FieldBetween   = "between_ms"
	FieldAgain     = "again_ms"
	FieldOmitted   = "routes_omitted"

	// FieldPriorities counts the requests that did not end in time by their effective priority.
	FieldPriorities = "priorities"
)

const (
	// maxLines limits the log lines per second; the routes with the most losses are logged.
	maxLines = 8
	// maxListed limits the number of reasons and of instances in a line.
	maxListed = 6
	// maxRoutes limits the number of routes per second.
	maxRoutes = 1000
	// SecondFormat is the time format of FieldSecond.
	SecondFormat = time.RFC3339
)

// Ledger aggregates requests. It is safe for concurrent use.
type Ledger struct {
	logger logrus.FieldLogger

	mutex  sync.Mutex
	second time.Time
	routes map[string]*routeTotals
}

// routeTotals holds the totals of one route in one second.
type routeTotals struct {
	service   string
	endings   map[Ending]int
	reasons   map[string]int
	instances map[string]int
	times     Times

	priorities map[string]int
}

// New returns a Ledger that writes to the logger.
func New(logger logrus.FieldLogger) *Ledger {
	return &Ledger{logger: logger, routes: make(map[string]*routeTotals)}
}

// Note records a request that ended now.
func (l *Ledger) Note(request Request, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	found := l.routes[request.Route]
	if found == nil {
		if len(l.routes) >= maxRoutes {
			return
		}
		found = &routeTotals{
			service: request.Service, endings: make(map[Ending]int),
			reasons: make(map[string]int), instances: make(map[string]int), priorities: make(map[string]int),
		}
		l.routes[request.Route] = found
	}
	found.add(request)
}

func (s *routeTotals) add(request Request) {
	s.endings[request.Ending]++
	if request.Ending == InTime {
		return
	}
	if request.Reason != "" {
		s.reasons[request.Reason]++
	}
	if request.Instance != "" {
		s.instances[request.Instance]++
	}
	s.priorities[strconv.Itoa(request.Priority)]++
	s.times.Waiting += request.Times.Waiting
	s.times.Instance += request.Times.Instance
	s.times.BetweenNodes += request.Times.BetweenNodes
	s.times.EarlierSends += request.Times.EarlierSends
}

// lost returns the number of requests that did not end in time.
func (s *routeTotals) lost() int {
	total := 0
	for ending, count := range s.endings {
		if ending != InTime {
			total += count
		}
	}
	return total
}

// Flush writes the lines of the last second if it is over.
func (l *Ledger) Flush(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
}

// advance writes the lines of the last second if it is over. The caller must hold the mutex.
func (l *Ledger) advance(now time.Time) {
	current := now.Truncate(time.Second)
	if current.Equal(l.second) {
		return
	}
	names := slices.SortedFunc(maps.Keys(l.routes), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.routes[b].lost(), l.routes[a].lost()), cmp.Compare(a, b))
	})
	names = slices.DeleteFunc(names, func(name string) bool { return l.routes[name].lost() == 0 })
	for i, name := range names[:min(len(names), maxLines)] {
		omitted := 0
		if i == maxLines-1 {
			omitted = len(names) - maxLines
		}
		l.write(name, l.routes[name], omitted)
	}
	l.second = current
	clear(l.routes)
}

func (l *Ledger) write(route string, found *routeTotals, omitted int) {
	fields := logrus.Fields{
		FieldRoute: route, FieldService: found.service, FieldSecond: l.second.UTC().Format(SecondFormat),
		FieldReasons: formatCounts(found.reasons), FieldInstances: formatCounts(found.instances),
		FieldPriorities: formatCounts(found.priorities),
		FieldWaiting:    found.times.Waiting.Milliseconds(), FieldInstance: found.times.Instance.Milliseconds(),
		FieldBetween: found.times.BetweenNodes.Milliseconds(), FieldAgain: found.times.EarlierSends.Milliseconds(),
	}
	for ending, count := range found.endings {
		fields[string(ending)] = count
	}
	if omitted > 0 {
		fields[FieldOmitted] = omitted
	}
	l.logger.WithFields(fields).Info(Message)
}

// formatCounts returns the highest counts as "name:count", joined by commas.
func formatCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxListed)]
	for i, name := range names {
		names[i] = fmt.Sprintf("%s:%d", name, counts[name])
	}
	return strings.Join(names, ",")
}

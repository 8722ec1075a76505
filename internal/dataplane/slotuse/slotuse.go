// Package slotuse accounts for the slot time of one instance: which priorities it goes to, how the requests
// that hold it end, and which slots were in use when requests were refused for lack of one. It logs one line
// for each second in which such requests were refused.
package slotuse

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Ending is how a request that held a slot ended.
type Ending string

// The endings.
const (
	// InTime: the request started while its response could still be in time, and was answered.
	InTime Ending = "in_time"
	// Late: the request started later than that, and was answered.
	Late Ending = "late"
	// Failed: the instance answered with a failure of its own.
	Failed Ending = "failed"
	// Rejected: the instance did not run the request.
	Rejected Ending = "rejected"
	// Unanswered: the response was lost, invalid, or not awaited to its end.
	Unanswered Ending = "unanswered"
)

// Shortage is what a refused request lacked.
type Shortage string

// The shortages.
const (
	// Full: all slots were in use.
	Full Shortage = "full"
	// Reserved: the free slots were reserved for requests of higher priority.
	Reserved Shortage = "reserved"
	// Ahead: slots were free, but other requests went ahead, or a rate limit held it back.
	Ahead Shortage = "ahead"
)

// Message is the message of the log lines.
const Message = "slots of a second"

// Fields of the log lines.
const (
	FieldSecond = "second"
	// FieldHeld is the slot time in milliseconds by priority and ending, FieldRefused the number of refused
	// requests by priority and shortage, each as "priority/kind:value", joined by commas.
	FieldHeld    = "held_ms"
	FieldRefused = "refused"
	// FieldUsable is the least number of slots that a refused request could have held.
	FieldUsable = "least_usable_slots"
	FieldSlots  = "slots"
)

// maxPriority bounds the priorities that are told apart; less urgent ones count as one.
const maxPriority = 7

// class is a priority with an Ending or a Shortage.
type class struct {
	priority int
	kind     string
}

// Refusal is a request that got no slot.
type Refusal struct {
	Priority int
	// Running is the number of slots in use, Usable how many the request could have held, and Slots all.
	Running, Usable, Slots int
}

func (r Refusal) shortage() Shortage {
	switch {
	case r.Running >= r.Slots:
		return Full
	case r.Usable < r.Slots:
		return Reserved
	default:
		return Ahead
	}
}

// Ledger accounts for the slots of one instance. It is safe for concurrent use.
type Ledger struct {
	logger  logrus.FieldLogger
	held    *prometheus.CounterVec
	refused *prometheus.CounterVec

	mutex         sync.Mutex
	second        time.Time
	heldNow       map[class]time.Duration
	refusedNow    map[class]int
	usable, slots int
}

// New returns a Ledger that writes to the logger.
func New(logger logrus.FieldLogger) *Ledger {
	return &Ledger{
		logger: logger, heldNow: make(map[class]time.Duration), refusedNow: make(map[class]int),
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_dataplane_slot_seconds_total",
			Help: "Time for which requests held slots of the instance, by effective priority and by how they ended.",
		}, []string{"priority", "ending"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_dataplane_slot_refusals_total",
			Help: "Requests refused for lack of a slot, by effective priority and by what they lacked: full, reserved (the free slots are kept for higher priorities), ahead (others went first).",
		}, []string{"priority", "shortage"}),
	}
}

// Collectors returns the metrics of the Ledger.
func (l *Ledger) Collectors() []prometheus.Collector {
	return []prometheus.Collector{l.held, l.refused}
}

// Ended records a request that held a slot for a time.
func (l *Ledger) Ended(priority int, ending Ending, held time.Duration, now time.Time) {
	of := class{bounded(priority), string(ending)}
	l.held.WithLabelValues(strconv.Itoa(of.priority), of.kind).Add(held.Seconds())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	l.heldNow[of] += held
}

// Refused records a request that got no slot.
func (l *Ledger) Refused(refusal Refusal, now time.Time) {
	of := class{bounded(refusal.Priority), string(refusal.shortage())}
	l.refused.WithLabelValues(strconv.Itoa(of.priority), of.kind).Inc()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	if len(l.refusedNow) == 0 {
		l.usable = refusal.Usable
	}
	l.refusedNow[of]++
	l.usable, l.slots = min(l.usable, refusal.Usable), refusal.Slots
}

func bounded(priority int) int { return min(max(priority, 0), maxPriority) }

// Flush writes the line of the last second if it is over.
func (l *Ledger) Flush(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
}

// advance writes the line of the last second if it is over. The caller must hold the mutex.
func (l *Ledger) advance(now time.Time) {
	current := now.Truncate(time.Second)
	if current.Equal(l.second) {
		return
	}
	if len(l.refusedNow) > 0 {
		held := formatted(l.heldNow, func(held time.Duration) string { return strconv.FormatInt(held.Milliseconds(), 10) })
		l.logger.WithFields(logrus.Fields{
			FieldSecond: l.second.UTC().Format(time.RFC3339), FieldHeld: held,
			FieldRefused: formatted(l.refusedNow, strconv.Itoa), FieldUsable: l.usable, FieldSlots: l.slots,
		}).Info(Message)
	}
	l.second = current
	clear(l.heldNow)
	clear(l.refusedNow)
}

// formatted returns the values of the classes in the order of their priorities.
func formatted[V any](values map[class]V, format func(V) string) string {
	classes := slices.SortedFunc(maps.Keys(values), func(a, b class) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.kind, b.kind))
	})
	texts := make([]string, len(classes))
	for i, each := range classes {
		texts[i] = fmt.Sprintf("%d/%s:%s", each.priority, each.kind, format(values[each]))
	}
	return strings.Join(texts, ",")
}

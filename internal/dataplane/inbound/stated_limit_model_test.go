package inbound

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/ratelimit"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// fleetModel is a fleet in virtual time: senders, the node beside one instance, and the instance, which
// states a limit. The decisions are those of the product; the network and the processes are modelled.
type fleetModel struct {
	random *rand.Rand
	now    time.Time
	events eventQueue
	way    startWay
	// longestWork is how long the instance works on a request at most.
	longestWork time.Duration

	senders []*modelSender
	node    *modelNode
	// limit is what the instance states, stated its history.
	limit  statement.Limit
	stated []limitChange

	counted  []time.Time // arrivals that count against the limit
	granted  int
	heldBack int // requests that a node without any limit to keep held back
}

// startWay is how a node that has just started treats requests before the first answer.
type startWay string

const (
	// heardBySenders applies the limits that senders have heard: the way that is built.
	heardBySenders startWay = "limits that senders have heard"
	// oneAtATime sends one request and holds the others back until it is answered.
	oneAtATime startWay = "one request until the first answer"
	// knowsNothing sends all requests.
	knowsNothing startWay = "nothing"
)

type limitChange struct {
	at    time.Time
	limit statement.Limit
}

// modelSender is a node at which requests begin.
type modelSender struct {
	statements *statement.Tracker
	// passedOnAt is when it first passed the limit on; zero: it has not, or was disturbed since.
	passedOnAt time.Time
	cutUntil   time.Time
}

// modelNode is the node beside the instance.
type modelNode struct {
	stated      *statedLimit
	rates       rateLimits
	incarnation int
	frozenUntil time.Time
	probing     bool
}

type modelEvent struct {
	at time.Time
	do func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(item any)     { *q = append(*q, item.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var (
	modelStart   = time.Unix(1000, 0)
	modelProcess = snapshot.InstanceID{Name: "i-1", StartedMillis: 1}
)

func newFleetModel(seed uint64, senders int, way startWay) *fleetModel {
	m := &fleetModel{random: rand.New(rand.NewPCG(seed, uint64(senders))), now: modelStart, way: way, longestWork: 60 * time.Millisecond}
	for range senders {
		m.senders = append(m.senders, &modelSender{statements: statement.NewTracker()})
	}
	m.node = &modelNode{}
	m.startNode()
	m.state(statement.Limit{})
	return m
}

func (m *fleetModel) after(delay time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now.Add(delay), do})
}

// run processes events until a time after the start.
func (m *fleetModel) run(until time.Duration) {
	end := modelStart.Add(until)
	for m.events.Len() > 0 && m.events[0].at.Before(end) {
		next := heap.Pop(&m.events).(modelEvent)
		m.now = next.at
		next.do()
	}
	m.now = end
}

func (m *fleetModel) startNode() {
	stated := newStatedLimit(statement.NewTracker(), m.now)
	m.node.stated, m.node.rates = stated, rateLimits{cold: ratelimit.NewLimit(m.now), stated: stated}
	m.node.incarnation++
	m.node.probing = m.way == oneAtATime
}

func (m *fleetModel) state(limit statement.Limit) {
	m.limit = limit
	m.stated = append(m.stated, limitChange{m.now, limit})
}

// between returns a random duration.
func (m *fleetModel) between(least, most time.Duration) time.Duration {
	return least + time.Duration(m.random.Int64N(int64(most-least)))
}

// load lets requests begin at random senders, on average perSecond, from now on.
func (m *fleetModel) load(perSecond float64) {
	m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		m.begin(m.random.IntN(len(m.senders)))
		m.load(perSecond)
	})
}

// begin lets a request begin at a sender.
func (m *fleetModel) begin(number int) {
	sender := m.senders[number]
	if m.now.Before(sender.cutUntil) {
		return
	}
	heard, sent := sender.statements.Get(modelProcess).Limit(), m.now
	m.after(m.networkDelay(), func() { m.arrive(sender, heard, sent) })
}

// networkDelay is mostly that of a zone or a region, sometimes that of a busy link.
func (m *fleetModel) networkDelay() time.Duration {
	if m.random.IntN(50) == 0 {
		return m.between(20*time.Millisecond, 300*time.Millisecond)
	}
	return m.between(200*time.Microsecond, 10*time.Millisecond)
}

// arrive lets a request arrive at the node beside the instance.
func (m *fleetModel) arrive(sender *modelSender, heard statement.Limit, sent time.Time) {
	node := m.node
	if m.now.Before(node.frozenUntil) {
		m.after(node.frozenUntil.Sub(m.now), func() { m.arrive(sender, heard, sent) })
		return
	}
	switch m.way {
	case heardBySenders:
		node.stated.assume(modelProcess, heard, m.now)
	case oneAtATime:
		if !node.stated.answered && !node.probing {
			m.heldBack++
			return
		}
		node.probing = false
	}
	if node.rates.Begin(m.now) > 0 {
		return
	}
	m.granted++
	if !sender.passedOnAt.IsZero() && m.now.Sub(sender.passedOnAt) >= 500*time.Millisecond {
		m.counted = append(m.counted, m.now)
	}
	m.work(sender, sent, node.incarnation)
}

// work lets the instance work on a request; what it states is fixed at any time until it answers.
func (m *fleetModel) work(sender *modelSender, sent time.Time, incarnation int) {
	arrived := m.now
	m.after(m.between(m.longestWork/60, m.longestWork), func() {
		stated := statement.Statement{Limit: m.limit}
		m.after(m.between(0, 20*time.Millisecond), func() { m.answer(sender, stated, sent, arrived, incarnation) })
	})
}

// answer lets an answer arrive at the node beside the instance and then at the sender.
func (m *fleetModel) answer(sender *modelSender, stated statement.Statement, sent, arrived time.Time, incarnation int) {
	node := m.node
	if incarnation != node.incarnation {
		return // its connection ended with the process
	}
	if m.now.Before(node.frozenUntil) {
		m.after(node.frozenUntil.Sub(m.now), func() { m.answer(sender, stated, sent, arrived, incarnation) })
		return
	}
	node.stated.observe(modelProcess, stated, arrived, m.now)
	m.after(m.networkDelay(), func() {
		if m.now.Before(sender.cutUntil) {
			return
		}
		sender.statements.Observe(modelProcess, stated, sent, m.now)
		if stated.Limit.Stated && sender.passedOnAt.IsZero() {
			sender.passedOnAt = m.now
		}
	})
}

// disturb lets restarts, freezes and cuts happen from now on.
func (m *fleetModel) disturb() {
	m.after(m.between(100*time.Millisecond, 1500*time.Millisecond), func() {
		number := m.random.IntN(len(m.senders))
		sender := m.senders[number]
		switch m.random.IntN(5) {
		case 0, 1:
			m.startNode()
		case 2:
			m.node.frozenUntil = m.now.Add(m.between(100*time.Millisecond, 2*time.Second))
		case 3: // a sender restarts, which excuses it
			m.senders[number] = &modelSender{statements: statement.NewTracker()}
		default: // a sender is cut off, which excuses it
			sender.cutUntil = m.now.Add(m.between(100*time.Millisecond, 2*time.Second))
			sender.passedOnAt = time.Time{}
		}
		m.disturb()
	})
}

// allowedBetween returns the most requests that users allow between two times.
func (m *fleetModel) allowedBetween(from, to time.Time) float64 {
	total := 0.0
	for i, each := range m.stated {
		begins, ends := each.at, to
		if i+1 < len(m.stated) {
			ends = m.stated[i+1].at
		}
		if begins.Before(from) {
			begins = from
		}
		if ends.After(to) {
			ends = to
		}
		if ends.After(begins) && each.limit.Stated {
			total += each.limit.PerSecond * ends.Sub(begins).Seconds()
		}
	}
	return 1.5*total + 5
}

// worstShare returns the largest share of what users allow in any 4 s that the requests used which count,
// from 3 s after the limit was stated.
func (m *fleetModel) worstShare(statedAt time.Time) float64 {
	const window, grace = 4 * time.Second, 3 * time.Second
	worst, first := 0.0, 0
	for last, at := range m.counted {
		for at.Sub(m.counted[first]) > window {
			first++
		}
		if at.Sub(statedAt) >= grace {
			worst = max(worst, float64(last-first+1)/m.allowedBetween(at.Add(-window), at))
		}
	}
	return worst
}

package balance

import (
	"math"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

const (
	// linkSpreadHalfLife is the half-life of what counts as asked for lately: a node that asks for a pack
	// or two per second asks most of 20 instances within it.
	linkSpreadHalfLife = 10 * time.Second
	// linkShareCost is the cost of the link that this node has used the most, as a share of the value of
	// an answer in time. It outweighs the difference in speed of two idle instances, but not a late answer.
	linkShareCost = 0.1
)

// linkSpread compares the links of instances by the time that they need for the large responses that this
// node has asked for lately. Reported backlogs alone do not spread the responses: most are drained before
// the next request, so that the fastest instances would always be chosen. As each node spreads its own
// requests, so does the fleet.
type linkSpread struct {
	// meanRate is the mean rate of the links that are known, and longest the longest of the times, in
	// seconds; zero: there is nothing to compare.
	meanRate, longest float64
}

// newLinkSpread returns the comparison for a request.
func (b *Balancer) newLinkSpread(request Request) linkSpread {
	if !b.options.Mechanisms.LinkBacklog || b.routeStatsOf(request.Route).answerBytes < transfer.MinQueuedBytes {
		return linkSpread{}
	}
	created, known := linkSpread{}, 0.0
	for i := range request.Instances {
		if link := &b.stateOf(&request.Instances[i], request.Now).link; link.reported.IsKnown() {
			known++
			created.meanRate += (link.bytesPerSecond() - created.meanRate) / known
		}
	}
	if known == 0 {
		return linkSpread{}
	}
	for i := range request.Instances {
		link := &b.stateOf(&request.Instances[i], request.Now).link
		created.longest = max(created.longest, created.timeOf(link, request.Now))
	}
	return created
}

// timeOf returns the time that a link needs for what this node has asked for, in seconds. A link of unknown
// rate counts as an average one.
func (s linkSpread) timeOf(link *linkState, now time.Time) float64 {
	if !link.reported.IsKnown() {
		return link.askedBytes(now) / s.meanRate
	}
	return link.askedBytes(now) / link.bytesPerSecond()
}

// cost returns the cost of the use that this node has made of a link, compared with the others.
func (s linkSpread) cost(link *linkState, now time.Time) float64 {
	if s.longest <= 0 {
		return 0
	}
	return linkShareCost * s.timeOf(link, now) / s.longest
}

// askedBytes returns the size of the large responses that this node has asked for lately.
func (l *linkState) askedBytes(now time.Time) float64 {
	if l.asked == 0 {
		return 0
	}
	return l.asked * math.Exp2(-float64(now.Sub(l.askedAt))/float64(linkSpreadHalfLife))
}

package balance

import (
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

const (
	// largeBodyPeriod is how long a link counts as in use after the last large body: longer than an
	// attempt to connect, which may have begun while the body was sent.
	largeBodyPeriod = 500 * time.Millisecond
	// connectedAfter is the time after which a request that has not failed must have a connection:
	// longer than an attempt to connect and a liveness check together.
	connectedAfter = 600 * time.Millisecond
	// maxLargeBodies bounds the large bodies that are tracked for an instance.
	maxLargeBodies = 64
)

// linkState is what the balancer knows about the link by which an instance's node sends its responses.
type linkState struct {
	// reported is the last report, as of reportedAt.
	reported   hop.Link
	reportedAt time.Time
	// own is how long the link takes to send the large responses that this node has asked for since
	// then, as of ownAt.
	own   time.Duration
	ownAt time.Time
	// asked is the size of the large responses that this node has asked for, decayed with
	// linkSpreadHalfLife, as of askedAt.
	asked   float64
	askedAt time.Time
	// largeBodies holds when the exchanges of this node with large bodies began that are in progress
	// there, and largeBodyEndedAt is when the last one ended.
	largeBodies      []time.Time
	largeBodyEndedAt time.Time
}

// report records what the instance's node reported; the zero Link if it reported nothing.
func (l *linkState) report(reported hop.Link, now time.Time) {
	l.reported, l.reportedAt, l.own = reported, now, 0
}

// transmission returns how long the link takes to send a response; zero if its rate is not known.
func (l *linkState) transmission(bytes float64) time.Duration {
	if !l.reported.IsKnown() {
		return 0
	}
	return time.Duration(bytes / l.bytesPerSecond() * float64(time.Second))
}

// bytesPerSecond returns the reported rate of the link.
func (l *linkState) bytesPerSecond() float64 { return kibibyte * float64(l.reported.Rate) }

// backlog returns how long the link is expected to take for what it has to send. A report older than
// maxReportAge is not used.
func (l *linkState) backlog(now time.Time) time.Duration {
	backlog := max(l.own-now.Sub(l.ownAt), 0)
	if age := now.Sub(l.reportedAt); age <= maxReportAge {
		backlog += l.reported.After(age).Backlog
	}
	return backlog
}

// responseTime returns how long a response with the given size waits for the link once it is ready,
// which takes untilReady, and how long it is sent.
func (l *linkState) responseTime(bytes float64, untilReady time.Duration, now time.Time) time.Duration {
	if bytes < transfer.MinQueuedBytes || !l.reported.IsKnown() {
		return 0
	}
	return max(l.backlog(now)-untilReady, 0) + l.transmission(bytes)
}

// begin records a request with the given sizes of its body and its response. It returns now if one of
// them is large and the request is tracked, and the zero time otherwise.
func (l *linkState) begin(requestBytes int, responseBytes float64, now time.Time) (began time.Time) {
	if responseBytes >= transfer.MinQueuedBytes {
		l.own, l.ownAt = max(l.own-now.Sub(l.ownAt), 0)+l.transmission(responseBytes), now
		l.asked, l.askedAt = l.askedBytes(now)+responseBytes, now
	}
	large := requestBytes >= transfer.MinQueuedBytes || responseBytes >= transfer.MinQueuedBytes
	if !large || len(l.largeBodies) >= maxLargeBodies {
		return time.Time{}
	}
	l.largeBodies = append(l.largeBodies, now)
	return now
}

// end records the end of a request with a large body, and whether its node was reached.
func (l *linkState) end(began time.Time, reached bool, now time.Time) {
	if began.IsZero() {
		return
	}
	if i := slices.Index(l.largeBodies, began); i >= 0 {
		l.largeBodies = slices.Delete(l.largeBodies, i, i+1)
	}
	if reached {
		l.largeBodyEndedAt = now
	}
}

// isBusy reports whether a failure to connect may be due to the link: its node reported a backlog a short
// while ago, or large bodies of this node are or were in transit.
func (l *linkState) isBusy(now time.Time) bool {
	inTransit := slices.ContainsFunc(l.largeBodies, func(began time.Time) bool { return now.Sub(began) >= connectedAfter })
	return inTransit || !l.largeBodyEndedAt.IsZero() && now.Sub(l.largeBodyEndedAt) <= largeBodyPeriod ||
		l.reported.Backlog > 0 && now.Sub(l.reportedAt) <= maxReportAge
}

// responseTime returns how long the response of a request waits for the instance's link and is sent.
func (b *Balancer) responseTime(known *instanceState, route *routeStats, untilReady time.Duration, now time.Time) time.Duration {
	if !b.options.Mechanisms.LinkBacklog {
		return 0
	}
	return known.link.responseTime(route.answerBytes, untilReady, now)
}

// isLinkBusy reports whether an attempt to connect to an instance's node that timed out tells of a busy link.
// Where neither this node nor another one knows its link, it never does.
func (b *Balancer) isLinkBusy(known *instanceState, now time.Time) bool {
	return b.options.Mechanisms.LinkBacklog && (b.options.LinkKnown || b.linksReported) && known.link.isBusy(now)
}

// resultOf returns what a result means for the instance: an attempt to connect that timed out is a failed
// delivery unless its link is busy.
func resultOf(result Result, linkBusy bool) Result {
	switch {
	case result != ConnectTimedOut:
		return result
	case linkBusy:
		return Busy
	default:
		return DeliveryFailed
	}
}

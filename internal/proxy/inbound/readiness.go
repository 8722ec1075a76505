package inbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/report"
)

const (
	// maxRefusals is how many connections in a row must be refused before the backend
	// counts as down.
	maxRefusals = 3
	// successValidity is how long a response to a request outweighs a bad health
	// report.
	successValidity = 10 * time.Second
	// unhealthyTrialDelay is how long bad health reports alone may keep a backend that
	// accepts connections out of service. After it, the backend gets requests and
	// their responses decide.
	unhealthyTrialDelay = 30 * time.Second
	// drainAnnouncementValidity is how long a drain that was announced on a response,
	// but never shown by the health endpoint, outweighs ready reports. It exceeds the
	// delay of reports. A backend that was replaced between two reports becomes ready
	// again after it.
	drainAnnouncementValidity = 30 * time.Second
	// readyReportsAfterDrain is how many ready reports in a row end a drain that the
	// health endpoint has shown.
	readyReportsAfterDrain = 2
)

// readiness decides whether the backend takes requests, from reports that may be late
// or wrong and from what the proxy itself observes. It has no clock: now is passed in.
//
// The rules:
//   - A backend starts as not ready until its health is ready. If it accepts
//     connections and its health is bad for unhealthyTrialDelay, it gets requests
//     nevertheless.
//   - A bad report never takes a ready backend out of service, as a faulty health
//     endpoint would then take out every instance of the service. The backend
//     becomes degraded (senders prefer others) unless a request was answered within
//     successValidity.
//   - Refused connections in a row take it out of service; a good report does not
//     bring it back while connections are refused.
//   - A drain that is announced, by a report or on a response, applies at once. It
//     ends when the backend was down and came back, or when the health endpoint
//     showed the drain and then is ready again. A ready report from an endpoint that
//     has not shown the drain is taken to be late, unless ready reports continue for
//     drainAnnouncementValidity after the last announcement.
type readiness struct {
	hasHealthEndpoint   bool
	state               membership.State
	consecutiveRefusals int
	reachableSince      time.Time // zero: connections are not accepted
	lastSuccess         time.Time
	lastReport          report.Status // "" until there is one
	drainReported       bool          // the health endpoint showed the drain
	drainAnnouncedAt    time.Time     // time of the last response that announced the drain
	readyReports        int           // in a row
}

func newReadiness(hasHealthEndpoint bool) *readiness {
	return &readiness{hasHealthEndpoint: hasHealthEndpoint, state: membership.StateStarting}
}

// observeReport applies a health report.
func (r *readiness) observeReport(status report.Status, now time.Time) {
	r.observeConnection(now)
	r.lastReport = status
	if status == report.StatusReady {
		r.readyReports++
	} else {
		r.readyReports = 0
	}
	switch {
	case status == report.StatusDraining:
		r.state = membership.StateDraining
		r.drainReported = true
	case r.state == membership.StateStarting:
		r.leaveStarting(now)
	case r.state == membership.StateDraining:
		r.leaveDraining(now)
	}
}

// observeMissingReport applies that the health endpoint did not respond, although the
// backend may accept connections.
func (r *readiness) observeMissingReport(now time.Time) {
	r.lastReport = report.StatusFailing
	r.readyReports = 0
	if r.state == membership.StateStarting {
		r.leaveStarting(now)
	}
}

// observeConnection applies that the backend accepted a connection.
func (r *readiness) observeConnection(now time.Time) {
	r.consecutiveRefusals = 0
	if r.reachableSince.IsZero() {
		r.reachableSince = now
	}
	if !r.hasHealthEndpoint && r.state == membership.StateStarting {
		r.state = membership.StateReady
	}
}

func (r *readiness) leaveStarting(now time.Time) {
	trialDue := !r.reachableSince.IsZero() && now.Sub(r.reachableSince) >= unhealthyTrialDelay
	if r.lastReport == report.StatusReady || trialDue {
		r.state = membership.StateReady
	}
}

func (r *readiness) leaveDraining(now time.Time) {
	mayLeave := r.drainReported || now.Sub(r.drainAnnouncedAt) >= drainAnnouncementValidity
	if mayLeave && r.readyReports >= readyReportsAfterDrain {
		r.state = membership.StateReady
		r.drainReported = false
	}
}

// observeRefusal applies that the backend refused a connection.
func (r *readiness) observeRefusal() {
	r.consecutiveRefusals++
	if r.consecutiveRefusals < maxRefusals {
		return
	}
	r.state = membership.StateStarting
	r.reachableSince = time.Time{}
	r.lastReport = ""
	r.drainReported = false
	r.readyReports = 0
}

// observeResponse applies that a request was answered, and whether the response
// announced a drain.
func (r *readiness) observeResponse(draining bool, now time.Time) {
	r.observeConnection(now)
	r.lastSuccess = now
	if draining {
		r.state = membership.StateDraining
		r.drainAnnouncedAt = now
	}
}

// degraded reports whether the last health report is bad and no request was answered
// within successValidity.
func (r *readiness) degraded(now time.Time) bool {
	bad := r.lastReport == report.StatusFailing || r.lastReport == report.StatusStarting
	trusted := !r.lastSuccess.IsZero() && now.Sub(r.lastSuccess) < successValidity
	return bad && !trusted
}

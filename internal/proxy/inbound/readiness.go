package inbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/report"
)

const (
	// refusedLimit is how many connections in a row must be refused before the
	// back end counts as down.
	refusedLimit = 3
	// successTrust is how long a request that was answered outweighs a bad health
	// report.
	successTrust = 10 * time.Second
	// trialAfter is how long a back end that takes connections may be kept out by
	// bad health reports alone; then requests decide.
	trialAfter = 30 * time.Second
	// drainTrust is how long a drain that was announced on an answer, and that the
	// health endpoint never showed, outweighs ready reports: longer than reports
	// lag. A back end that is replaced between two reports comes back by it.
	drainTrust = 30 * time.Second
	// readyReportsAfterDrain is how many ready reports in a row end a drain that
	// the health endpoint had shown.
	readyReportsAfterDrain = 2
)

// readiness decides whether the back end takes work, from reports that may lag or
// lie and from what the proxy itself sees. It has no clock: now is passed in.
//
// The rules:
//   - A back end starts as not ready until health says ready. If it takes
//     connections and health is bad for trialAfter, it is tried all the same.
//   - A bad report never takes a ready back end out, as a lying endpoint would
//     empty the service. It makes the back end doubted (others are preferred)
//     unless a request was answered within successTrust.
//   - Connections refused in a row do take it out; a good report does not bring
//     it back while they are refused.
//   - A drain that is announced, by a report or on an answer, always counts at
//     once. It ends when the back end was down and came back, or when the health
//     endpoint showed it and then says ready again; "ready" from an endpoint that
//     has not shown the drain yet only lags, unless it says so for drainTrust
//     after the last announcement.
type readiness struct {
	reports      bool // there is a health endpoint
	state        membership.State
	refused      int       // connections refused in a row
	reachable    time.Time // since when connections are taken; zero: they are not
	lastSuccess  time.Time
	lastReport   report.Status // "" until there is one
	drainShown   bool          // health showed the drain
	drainedAt    time.Time     // of the last answer that announced the drain
	readyReports int           // in a row
}

func newReadiness(reports bool) *readiness {
	return &readiness{reports: reports, state: membership.StateStarting}
}

// reported takes a health report in.
func (r *readiness) reported(status report.Status, now time.Time) {
	r.connected(now)
	r.lastReport = status
	if status == report.StatusReady {
		r.readyReports++
	} else {
		r.readyReports = 0
	}
	switch {
	case status == report.StatusDraining:
		r.state = membership.StateDraining
		r.drainShown = true
	case r.state == membership.StateStarting:
		r.leaveStarting(now)
	case r.state == membership.StateDraining:
		r.leaveDraining(now)
	}
}

// unreported takes in that the health endpoint gave no answer although the back
// end may take connections.
func (r *readiness) unreported(now time.Time) {
	r.lastReport = report.StatusFailing
	r.readyReports = 0
	if r.state == membership.StateStarting {
		r.leaveStarting(now)
	}
}

// connected takes in that the back end took a connection.
func (r *readiness) connected(now time.Time) {
	r.refused = 0
	if r.reachable.IsZero() {
		r.reachable = now
	}
	if !r.reports && r.state == membership.StateStarting {
		r.state = membership.StateReady
	}
}

func (r *readiness) leaveStarting(now time.Time) {
	tried := !r.reachable.IsZero() && now.Sub(r.reachable) >= trialAfter
	if r.lastReport == report.StatusReady || tried {
		r.state = membership.StateReady
	}
}

func (r *readiness) leaveDraining(now time.Time) {
	known := r.drainShown || now.Sub(r.drainedAt) >= drainTrust
	if known && r.readyReports >= readyReportsAfterDrain {
		r.state = membership.StateReady
		r.drainShown = false
	}
}

// connectionRefused takes in that nothing listens at the back end's address.
func (r *readiness) connectionRefused() {
	r.refused++
	if r.refused < refusedLimit {
		return
	}
	r.state = membership.StateStarting
	r.reachable = time.Time{}
	r.lastReport = ""
	r.drainShown = false
	r.readyReports = 0
}

// answered takes in that a request was answered, with a drain announced or not.
func (r *readiness) answered(draining bool, now time.Time) {
	r.connected(now)
	r.lastSuccess = now
	if draining {
		r.state = membership.StateDraining
		r.drainedAt = now
	}
}

// doubted reports whether the health report is bad and nothing speaks against it.
func (r *readiness) doubted(now time.Time) bool {
	bad := r.lastReport == report.StatusFailing || r.lastReport == report.StatusStarting
	trusted := !r.lastSuccess.IsZero() && now.Sub(r.lastSuccess) < successTrust
	return bad && !trusted
}

package outbound

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/boundedlog"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/tenancy"
)

// requestLog logs the end of each request, up to a limited rate.
type requestLog struct {
	lines *boundedlog.Limiter
	// sourceAge is Options.SourceAge.
	sourceAge func() (age time.Duration, known bool)
}

func newRequestLog(logger logrus.FieldLogger, sourceAge func() (age time.Duration, known bool)) *requestLog {
	return &requestLog{lines: boundedlog.New(logger), sourceAge: sourceAge}
}

// versionFields returns the version that decided a request, and how long ago it was last confirmed.
func (l *requestLog) versionFields(current *snapshot.Snapshot) logrus.Fields {
	fields := logrus.Fields{"version": current.Version().String()}
	if l.sourceAge == nil {
		return fields
	}
	if age, known := l.sourceAge(); known {
		fields["confirmed_ms"] = age.Milliseconds()
	}
	return fields
}

// ended logs the final answer to a request and what led to it.
func (l *requestLog) ended(e *exchange, outcome string, status int, duration time.Duration) {
	failed := outcome != outcomeAnswered || status >= 500 || e.tries > 1
	entry, ok := l.lines.Take(failed)
	if !ok {
		return
	}
	entry = entry.WithFields(logrus.Fields{
		"request": e.request.ID, "route": e.route.Name, "tenant": e.identity.Name(),
		"service": e.service, "instance": e.lastInstance, "outcome": outcome, "status": status,
		"reason": string(e.lastReason), "tries": e.tries, "reached": e.possibleRuns,
		"ms": duration.Milliseconds(), "left_ms": time.Until(e.deadline).Milliseconds(),
		"since_first_ms": e.caller.Elapsed.Milliseconds(), "retries_refused": e.caller.RetriesRefused,
	}).WithFields(l.versionFields(e.current)).WithFields(e.classFields())
	if failed {
		fingerprint := suspects.NewFingerprint(e.request.Method, e.request.Host, e.request.Target, e.request.Body)
		entry.WithFields(logrus.Fields{"target": e.request.Target, "fingerprint": fingerprint.String()}).Warn("request ended")
		return
	}
	entry.Info("request ended")
}

// unauthenticated logs a request whose key is missing or not valid. It never shows the key.
func (l *requestLog) unauthenticated(request *message.Request, route *snapshot.Route, current *snapshot.Snapshot, refusal tenancy.Refusal) {
	entry, ok := l.lines.Take(true)
	if !ok {
		return
	}
	entry.WithFields(logrus.Fields{
		"request": request.ID, "route": route.Name, "version": current.Version().String(), "reason": string(refusal),
	}).Warn("the caller is not authenticated")
}

// unusable logs a request for which the configuration cannot be used.
func (l *requestLog) unusable(request *message.Request, route *snapshot.Route, identity tenancy.Identity, current *snapshot.Snapshot, fault string) {
	entry, ok := l.lines.Take(true)
	if !ok {
		return
	}
	entry.WithFields(logrus.Fields{
		"request": request.ID, "route": route.Name, "tenant": identity.Name(), "fault": fault,
	}).WithFields(l.versionFields(current)).Warn("the configuration of the route or of the tenant cannot be used")
}

// beyondQuota logs a request beyond the quota of its tenant.
func (l *requestLog) beyondQuota(e *exchange, decision quota.Decision) {
	entry, ok := l.lines.Take(true)
	if !ok {
		return
	}
	tenant := e.identity.Tenant
	entry.WithFields(logrus.Fields{
		"request": e.request.ID, "route": e.route.Name, "version": e.current.Version().String(), "tenant": tenant.Name,
		"rate": tenant.RequestsPerSecond, "burst": tenant.Burst, "decided_by": string(decision.Source),
		"retry_after_ms": decision.RetryAfter.Milliseconds(),
	}).Warn("the request is beyond the quota of its tenant")
}

// noRoute logs a request that no route matches.
func (l *requestLog) noRoute(request *message.Request, current *snapshot.Snapshot) {
	entry, ok := l.lines.Take(true)
	if !ok {
		return
	}
	entry.WithFields(logrus.Fields{
		"request": request.ID, "host": request.Host, "path": request.Path,
	}).WithFields(l.versionFields(current)).Warn("no route matches the request")
}

// statementChanged logs what an instance now states about itself, as this node knows it.
func (l *requestLog) statementChanged(e *exchange, instance snapshot.Instance, record statement.Record) {
	entry, ok := l.lines.Take(true)
	if !ok {
		return
	}
	entry.WithFields(logrus.Fields{
		"request": e.request.ID, "instance": instance.Name, "service": instance.Service, "zone": instance.Zone,
		"limited": record.Limit().Stated, "per_second": record.Limit().PerSecond, "leaving": record.IsLeaving(),
	}).Info("an answer changes what the instance states about itself")
}

// availabilityChanged logs that the availability of an instance changed.
func (l *requestLog) availabilityChanged(e *exchange, choice balance.Choice, sent sendResult, transition balance.Transition) {
	entry, ok := l.lines.Take(true)
	if !ok {
		return
	}
	entry = entry.WithFields(logrus.Fields{
		"request": e.request.ID, "instance": choice.Instance.Name, "service": choice.Instance.Service,
		"zone": choice.Instance.Zone, "reason": string(sent.report.Reason), "version": e.current.Version().String(),
	})
	if sent.err != nil {
		entry = entry.WithError(sent.err)
	}
	switch transition {
	case balance.Recovered:
		entry.Info("instance answers again")
		return
	case balance.LinkBusy:
		entry.Info("the attempt to connect timed out and the link is busy: the instance is not ejected")
		return
	}
	entry.Warn("instance ejected: it gets no requests for a while")
}

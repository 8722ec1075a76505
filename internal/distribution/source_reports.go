package distribution

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// reportRetention is how long a reader that sends no more reports is remembered.
	reportRetention = 30 * time.Second
	// maxReportAge bounds the age that a peer may state.
	maxReportAge = time.Hour
)

// sourceReport is a wire.SourceReport with the time of the read by this node's clock.
type sourceReport struct {
	reader   uint64
	sequence uint64
	standsIn bool
	failed   bool
	revision snapshot.Revision
	at       time.Time
}

// precedence orders reports on a link, lower first: one that reads by its rank comes before those that stand
// in, of which the lowest reader comes first. A report is left out on a link only in favour of one that
// does not come after it, so that a node that stands in learns of the readers to which it yields.
func (r sourceReport) precedence() uint64 {
	if !r.standsIn {
		return 0
	}
	return max(r.reader, 1)
}

// reportedReader is what this node knows of a reader by its reports.
type reportedReader struct {
	sequence uint64
	// heardAt is when the newest report came, failedAt the end of the last read if that failed.
	heardAt, failedAt time.Time
}

// reportState holds the reports of all readers.
type reportState struct {
	// self identifies this process as a reader, sequence is that of its last report.
	self     uint64
	sequence uint64
	readers  map[uint64]reportedReader
	// newest is the report of the newest successful read.
	newest sourceReport
	// failedAt is when this node last reported a failed read of its own.
	failedAt time.Time
}

func newReportState(self membership.Record) reportState {
	identity := binary.AppendUvarint([]byte(self.Node+"\x00"), uint64(self.Incarnation))
	return reportState{self: xxhash.Sum64(identity), readers: make(map[uint64]reportedReader)}
}

// linkReports is what was exchanged over one link, in both directions.
type linkReports struct {
	// confirmed is the last report of a successful read.
	confirmed sourceReport
	// failures holds when each reader's failed read was last exchanged.
	failures map[uint64]time.Time
	delay    queueingDelay
}

// reportRead reports the outcome of a read of the source by this node. A reader that the source answers late
// confirms nothing to others.
func (e *Engine) reportRead(failed bool) {
	r := &e.reports
	if failed && e.now.Sub(r.failedAt) < e.timing.ReportInterval || !failed && e.sourceReader.late {
		return
	}
	if failed {
		r.failedAt = e.now
	}
	r.sequence++
	report := sourceReport{
		reader:   r.self,
		sequence: r.sequence,
		standsIn: e.freshness.standingIn && e.rankedRole() == roleStandby,
		failed:   failed,
		revision: max(e.push.heldVersion().Revision, e.sourceReader.head.Revision).Unmarked(),
		at:       e.now,
	}
	if !failed {
		r.newest = report
		e.confirm(confirmation{revision: report.revision, at: report.at})
	}
	e.forwardReport(report, 0)
}

func (e *Engine) onSourceReport(l *link, m *wire.SourceReport) {
	age := time.Duration(min(max(m.Age, 0), maxReportAge.Milliseconds())) * time.Millisecond
	waited := l.reports.delay.of(time.Duration(m.SentAt)*time.Millisecond, e.now.Sub(e.start.startedAt))
	report := sourceReport{
		reader:   m.Reader,
		sequence: m.Sequence,
		standsIn: m.StandsIn,
		failed:   m.Failed,
		revision: m.Revision.Unmarked(),
		at:       e.now.Add(-age - waited),
	}
	l.reports.note(e, report)
	known := e.reports.readers[report.reader]
	if report.reader == e.reports.self || report.sequence <= known.sequence {
		return
	}
	known = reportedReader{sequence: report.sequence, heardAt: e.now}
	if report.failed {
		known.failedAt = report.at
	}
	e.reports.readers[report.reader] = known
	if !report.failed {
		if report.at.After(e.reports.newest.at) {
			e.reports.newest = report
		}
		e.confirm(confirmation{revision: report.revision, at: report.at, yields: !report.standsIn || report.reader < e.reports.self})
	}
	e.forwardReport(report, l.id)
}

// forwardReport sends a report on the links that need it: a confirmation where none was exchanged within
// ReportInterval, a failure while fewer than failingReaders are known to the peer.
func (e *Engine) forwardReport(report sourceReport, from LinkID) {
	due := e.overlay.establishedIDs(func(l *link) bool {
		return l.id != from && l.acceptsReports && l.reports.needs(e, report)
	})
	for _, id := range due {
		e.overlay.links[id].reports.note(e, report)
	}
	e.sendReport(report, due...)
}

// sendNewestReport sends the newest confirmation on a new link.
func (e *Engine) sendNewestReport(l *link) {
	if newest := e.reports.newest; l.acceptsReports && newest.sequence > 0 {
		l.reports.note(e, newest)
		e.sendReport(newest, l.id)
	}
}

func (e *Engine) sendReport(report sourceReport, links ...LinkID) {
	e.send(&wire.SourceReport{
		Reader:   report.reader,
		Sequence: report.sequence,
		StandsIn: report.standsIn,
		Failed:   report.failed,
		Revision: report.revision,
		Age:      e.now.Sub(report.at).Milliseconds(),
		SentAt:   e.now.Sub(e.start.startedAt).Milliseconds(),
	}, links...)
}

// needs reports whether the peer of a link is to be sent a report.
func (r *linkReports) needs(e *Engine, report sourceReport) bool {
	if report.failed {
		r.forgetFailures(e)
		exchangedAt, known := r.failures[report.reader]
		return !known && len(r.failures) < failingReaders || known && e.now.Sub(exchangedAt) >= e.timing.FailureMemory/2
	}
	if report.at.Sub(r.confirmed.at) >= e.timing.ReportInterval {
		return true
	}
	return report.at.After(r.confirmed.at) && report.precedence() < r.confirmed.precedence()
}

// note records that a report was exchanged.
func (r *linkReports) note(e *Engine, report sourceReport) {
	if !report.failed {
		isOld := report.at.Sub(r.confirmed.at) >= e.timing.ReportInterval
		if isOld || report.at.After(r.confirmed.at) && report.precedence() <= r.confirmed.precedence() {
			r.confirmed = report
		}
		return
	}
	r.forgetFailures(e)
	if r.failures == nil {
		r.failures = make(map[uint64]time.Time)
	}
	r.failures[report.reader] = e.now
}

// forgetFailures removes the failures that count no longer.
func (r *linkReports) forgetFailures(e *Engine) {
	maps.DeleteFunc(r.failures, func(_ uint64, at time.Time) bool { return e.now.Sub(at) >= e.timing.FailureMemory })
}

// sourceFails reports whether reads of several readers, this one included, failed of late.
func (e *Engine) sourceFails() bool {
	failing := 0
	if e.sourceReader.failures > 0 {
		failing++
	}
	for _, reader := range e.reports.readers {
		if !reader.failedAt.IsZero() && e.now.Sub(reader.failedAt) < e.timing.FailureMemory {
			failing++
		}
	}
	return failing >= failingReaders
}

// expireReports forgets readers that send no more reports.
func (e *Engine) expireReports() {
	for id, reader := range e.reports.readers {
		if e.now.Sub(reader.heardAt) > reportRetention {
			delete(e.reports.readers, id)
		}
	}
}

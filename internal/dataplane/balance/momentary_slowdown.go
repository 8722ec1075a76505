package balance

import (
	"math"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// momentarySlowdownHalfLife is the half-life of an instance's slowdown of the moment. Senders avoid an instance
// while they believe that it is slow, and so hear nothing of its recovery. With the half-life of the usual
// slowdown, 2 percent of the requests found no slot at a utilization of 0.95; with 600 ms, slow instances were
// avoided for too long at 1.1.
const momentarySlowdownHalfLife = 150 * time.Millisecond

// momentarySlowdown is how many times longer than usual an instance takes at the moment. The zero value is none.
type momentarySlowdown struct {
	ratio      float64
	reportedAt time.Time
}

// set applies a report, unless it does not tell.
func (m *momentarySlowdown) set(report *hop.Report, now time.Time) {
	if report.MomentaryPercent > 0 {
		m.ratio, m.reportedAt = float64(report.MomentaryPercent)/100, now
	}
}

// at returns the slowdown, which approaches 1 as the report ages.
func (m *momentarySlowdown) at(now time.Time) float64 {
	if m.reportedAt.IsZero() {
		return 1
	}
	return 1 + (m.ratio-1)*math.Exp2(-float64(max(now.Sub(m.reportedAt), 0))/float64(momentarySlowdownHalfLife))
}

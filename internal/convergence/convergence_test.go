package convergence_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/convergence"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// logs has two nodes, a and b, that run from the first change on, node c, which starts after
// the second change, and node d, which restarts right after the second change.
const logs = `no line of ours: configuration in force
 1.0 a {"msg":"started","time":"2026-01-01T00:00:00Z"}
 1.0 a {"msg":"configuration in force","time":"2026-01-01T00:00:01Z","version":"3/aa"}
 1.0 a {"msg":"control traffic","time":"2026-01-01T00:00:02Z","link_bytes":100,"source_bytes":50}
 1.0 a {"msg":"configuration in force","time":"2026-01-01T00:00:10Z","version":"5/bb"}
 1.0 a {"msg":"control traffic","time":"2026-01-01T00:00:12Z","link_bytes":1100,"source_bytes":50}
 1.0 a {"msg":"configuration in force","time":"2026-01-01T00:00:20.5Z","version":"6/cc"}
 1.0 a {"msg":"control traffic","time":"2026-01-01T00:00:22Z","link_bytes":1110,"source_bytes":140}
 1.0 a {"msg":"control traffic","time":"2026-01-01T00:00:32Z","link_bytes":1130,"source_bytes":150}
{"msg":"started","time":"2026-01-01T00:00:00Z"}
{"msg":"configuration in force","time":"2026-01-01T00:00:02Z","version":"3/aa"}
{"msg":"configuration in force","time":"2026-01-01T00:00:10.25Z","version":"5/bb"}
{"msg":"configuration in force","time":"2026-01-01T00:00:20Z","version":"6/cc"}
{"msg":"configuration in force", broken
 1.0 c {"msg":"started","time":"2026-01-01T00:00:15Z"}
 1.0 c {"msg":"configuration in force","time":"2026-01-01T00:00:16Z","version":"5/bb"}
 1.0 d {"msg":"started","time":"2026-01-01T00:00:00Z"}
 1.0 d {"msg":"configuration in force","time":"2026-01-01T00:00:01Z","version":"3/aa"}
 1.0 d {"msg":"started","time":"2026-01-01T00:00:11Z"}
 1.0 d {"msg":"configuration in force","time":"2026-01-01T00:00:12Z","version":"5/bb"}
`

func TestReport(t *testing.T) {
	c := qt.New(t)
	parsed := convergence.New()
	c.Assert(parsed.Read("b", strings.NewReader(logs)), qt.IsNil)
	report := parsed.Report()
	c.Check(report.Nodes, qt.Equals, 4)
	c.Check(report.Changes, qt.Equals, 2)
	// Revision 5 reaches a first and b after 0.25 s, and d restarts. Revision 6 reaches b first,
	// a after 0.5 s, and c and d never.
	c.Check(report.Seconds, qt.Equals, convergence.Percentiles{P50: 0.25, P99: 0.5, Max: 0.5})
	c.Check(report.Slowest, qt.Equals, snapshot.Revision(6))
	c.Check(report.Missing, qt.Equals, 2)
	c.Check(report.Changing, qt.Equals, convergence.Percentiles{P50: 100, P99: 100, Max: 100})
	c.Check(report.Idle, qt.Equals, convergence.Percentiles{P50: 3, P99: 3, Max: 3})
}

func TestEmptyReport(t *testing.T) {
	report := convergence.New().Report()
	qt.Check(t, report.Changes, qt.Equals, 0)
	qt.Check(t, report.Seconds, qt.Equals, convergence.Percentiles{})
}

package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const traceLines = `1.0 node-b {"level":"warning","msg":"request not answered by the instance","part":"inbound","reason":"overloaded","request":"r-1","time":"2026-01-01T00:00:01Z"}
1.1 node-a {"level":"warning","msg":"request ended","outcome":"not-run","part":"outbound","reason":"overloaded","request":"r-1","status":503,"time":"2026-01-01T00:00:02Z"}
`

func TestTrace(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "nodes.log")
	c.Assert(os.WriteFile(file, []byte(traceLines), 0o600), qt.IsNil)

	code, stdout, _ := run(c, "trace", "r-1", file)
	c.Check(code, qt.Equals, ExitOK)
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Check(strings.HasPrefix(lines[0], "> 1.0 node-b inbound: request not answered"), qt.IsTrue)
	c.Check(strings.Contains(lines[1], "status=503"), qt.IsTrue)

	code, stdout, _ = run(c, "trace", "--output", "json", "r-1", file)
	c.Check(code, qt.Equals, ExitOK)
	c.Check(strings.Contains(stdout, `"deciding": true`), qt.IsTrue)

	code, _, stderr := run(c, "trace", "r-9", file)
	c.Check(code, qt.Equals, ExitRefused)
	c.Check(strings.Contains(stderr, "no line of request r-9"), qt.IsTrue)

	code, _, _ = run(c, "trace", "r-1", filepath.Join(c.TempDir(), "missing.log"))
	c.Check(code, qt.Equals, ExitUsage)
}

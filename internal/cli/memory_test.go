package cli

import (
	"math"
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/settings"
)

// TestMemoryLimit checks that the limit of the runtime is below the configured memory, and
// that GOMEMLIMIT takes precedence.
func TestMemoryLimit(t *testing.T) {
	for name, row := range map[string]struct {
		megabytes float64
		variable  string
		want      int64
	}{
		"small machine":   {112, "", 78 << 20},
		"large machine":   {536, "", 375 << 20},
		"not configured":  {0, "", math.MaxInt64},
		"variable is set": {112, "64MiB", math.MaxInt64}, // the runtime reads it at its start only
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			if row.variable != "" {
				t.Setenv(memoryLimitVariable, row.variable)
			}
			before := debug.SetMemoryLimit(math.MaxInt64)
			defer debug.SetMemoryLimit(before)
			limitMemory(settings.Node{MemoryMb: row.megabytes})
			const readOnly = -1
			got := debug.SetMemoryLimit(readOnly)
			c.Check(got >= row.want && got-row.want < 1<<20 && got >= 0, qt.IsTrue, qt.Commentf("%d", got))
		})
	}
}

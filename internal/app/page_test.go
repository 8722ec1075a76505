package app

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// TestOperationsPageListsMetricsAndReasons keeps the page and the code together.
// Metrics that only appear with an event are not seen here.
func TestOperationsPageListsMetricsAndReasons(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	r := newRig(c)
	r.secure()
	registry := prometheus.NewRegistry()
	node, err := New(r.besideSettings(), Options{Logger: logging.Discard(), Registry: registry})
	c.Assert(err, qt.IsNil)
	defer node.Close()
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		row := "| `" + family.GetName() + "` | " + family.GetHelp() + " |"
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("the page lacks: %s", row))
	}
	for _, reason := range outcome.Reasons() {
		c.Check(strings.Contains(string(page), "| `"+string(reason)+"` |"), qt.IsTrue, qt.Commentf("the page lacks: %s", reason))
	}
}

package app

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// TestOperationsPageListsMetricsAndReasons checks that OPERATIONS.md lists every metric
// and every reason. Metrics that only appear with an event are not checked.
func TestOperationsPageListsMetricsAndReasons(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	r := newHarness(c)
	r.enableTLS()
	registry := prometheus.NewRegistry()
	node, err := New(r.sidecarSettings(), Options{Logger: logging.Discard(), Registry: registry})
	c.Assert(err, qt.IsNil)
	defer node.Close()
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		row := "| `" + family.GetName() + "` | " + family.GetHelp() + " |"
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("OPERATIONS.md has no line: %s", row))
	}
	for _, reason := range outcome.Reasons() {
		c.Check(strings.Contains(string(page), "| `"+string(reason)+"` |"), qt.IsTrue, qt.Commentf("OPERATIONS.md has no reason: %s", reason))
	}
}

// TestOperationsPageListsMetricsOfTheDataPlane checks the same for a node whose platform
// is a store.
func TestOperationsPageListsMetricsOfTheDataPlane(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	r := newStoreHarness(t, []string{"data"}, nil)
	registry := prometheus.NewRegistry()
	configured := r.settings(0, r.url)
	configured.Node.LinkMbps = 10 // the metrics of the link are registered where it is known
	node, err := New(configured, Options{Logger: logging.Discard(), Registry: registry})
	c.Assert(err, qt.IsNil)
	defer node.Close()
	descriptions := make(chan *prometheus.Desc, 1000)
	registry.Describe(descriptions)
	close(descriptions)
	listed := regexp.MustCompile(`fqName: "([^"]+)", help: "([^"]+)"`)
	for description := range descriptions {
		parts := listed.FindStringSubmatch(description.String())
		c.Assert(parts, qt.HasLen, 3)
		row := "| `" + parts[1] + "` | " + parts[2] + " |"
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("OPERATIONS.md has no line: %s", row))
	}
}

package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/settings"
)

const reloadFile = `node: {name: a, region: r, zone: z}
platform: {url: "http://127.0.0.1:1"}
peers: {listen: "127.0.0.1:1"}
retries: {ratio: RATIO}
`

// TestReload checks that a changed file is noticed once and applied, and that an invalid
// file changes nothing.
func TestReload(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "settings.yaml")
	write := func(text string, at time.Time) {
		c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		c.Assert(os.Chtimes(file, at, at), qt.IsNil)
	}
	start := time.Now()
	write(strings.Replace(reloadFile, "RATIO", "0.2", 1), start)
	flags := &settingsFlags{File: file}
	loaded, err := flags.load()
	c.Assert(err, qt.IsNil)
	var ratios []float64
	r := newReloader(flags, loaded, logging.Discard())
	r.apply = func(next *settings.Loaded) { ratios = append(ratios, next.Retries.Ratio) }

	c.Check(r.fileChanged(), qt.IsFalse)
	write(strings.Replace(reloadFile, "RATIO", "0.3", 1), start.Add(time.Second))
	c.Check(r.fileChanged(), qt.IsTrue)
	c.Check(r.fileChanged(), qt.IsFalse)
	r.reload("a test")
	c.Check(ratios, qt.DeepEquals, []float64{0.3})

	write("nonsense: [", start.Add(2*time.Second))
	r.reload("a test")
	c.Check(ratios, qt.DeepEquals, []float64{0.3})
	c.Check(r.current.Retries.Ratio, qt.Equals, 0.3)
}

func TestChangedKeys(t *testing.T) {
	c := qt.New(t)
	current := &settings.Loaded{Settings: settings.Defaults()}
	next := &settings.Loaded{Settings: settings.Defaults()}
	next.Retries.Slack, next.Log.Level, next.Inbound.Slots = 1, "debug", 1
	applied, needRestart := changedKeys(current, next)
	c.Check(applied, qt.DeepEquals, []string{"retries.slack", "log.level"})
	c.Check(needRestart, qt.DeepEquals, []string{"inbound.slots"})
}

package mirror

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestLongUnknownValuesAreShortened guards against memory and logs that fill with words of megabytes, which another
// writer changes again and again: each was kept and logged whole.
func TestLongUnknownValuesAreShortened(t *testing.T) {
	c := qt.New(t)
	logger, logged := test.NewNullLogger()
	reporter, err := newUnknownValueReporter(nil, logger)
	c.Assert(err, qt.IsNil)
	const writes, most = 50, 100
	for write := range writes {
		word := strings.Repeat("é", 10_000) + strings.Repeat("x", write)
		reporter.report([]Item{{Key: "servers/i", Revision: snapshot.Revision(write), UnknownValues: []UnknownValue{{Field: "state", Value: word}}}})
	}
	kept := 0
	for reported := range reporter.reported {
		kept += len(reported.word.Value)
	}
	c.Check(kept <= writes*most, qt.IsTrue, qt.Commentf("%d bytes", kept))
	c.Assert(len(logged.AllEntries()) > 0, qt.IsTrue)
	for _, entry := range logged.AllEntries() {
		c.Check(entry.Level, qt.Equals, logrus.WarnLevel)
		word := entry.Data["word"].(string)
		c.Check(len(word) <= most, qt.IsTrue, qt.Commentf("%d bytes", len(word)))
		c.Check(strings.HasPrefix(word, "éé"), qt.IsTrue)
	}
}

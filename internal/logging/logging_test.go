package logging_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/logging"
)

func TestPartPrecedesTheMessage(t *testing.T) {
	for format, want := range map[string]string{
		"text": `level=warning msg="inbound: shed" count=2` + "\n",
		"json": `"count":2,"level":"warning","msg":"shed","part":"inbound"`,
	} {
		c := qt.New(t)
		var out bytes.Buffer
		logger, err := logging.New(&out, "warning", format)
		c.Assert(err, qt.IsNil)
		part := logging.Part(logger, "inbound")
		part.Info("below the level")
		part.WithField("count", 2).Warn("shed")
		c.Assert(out.String(), qt.Contains, want)
		c.Assert(out.String(), qt.Not(qt.Contains), "below")
	}
}

func TestUnknownLevelOrFormat(t *testing.T) {
	c := qt.New(t)
	_, err := logging.New(&bytes.Buffer{}, "loud", "text")
	c.Assert(err, qt.ErrorMatches, `log level "loud".*`)
	_, err = logging.New(&bytes.Buffer{}, "info", "xml")
	c.Assert(err, qt.ErrorMatches, `log format "xml": expected text or json`)
}

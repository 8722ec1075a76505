package hop_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
)

// TestLimitTravelsApart checks that the limit of an order has a field of its own, so that sidecars of
// earlier versions can read the order, and that an order without it is read as one without a limit.
func TestLimitTravelsApart(t *testing.T) {
	c := qt.New(t)
	limited := hop.Order{Instance: "i-1", StatedLimit: statement.Limit{Stated: true, PerSecond: 0.25}}
	header := http.Header{"Other": {"1"}}
	limited.AddTo(header)
	c.Check(header.Get(hop.Header), qt.Equals, hop.Order{Instance: "i-1"}.Encode())
	read, err := hop.OrderFrom(header)
	c.Assert(err, qt.IsNil)
	c.Check(read, qt.Equals, limited)
	hop.Strip(header)
	c.Check(header, qt.DeepEquals, http.Header{"Other": {"1"}})

	hop.Order{Instance: "i-1"}.AddTo(header)
	c.Check(header[hop.HeaderLimit], qt.IsNil)
	read, err = hop.OrderFrom(header)
	c.Assert(err, qt.IsNil)
	c.Check(read.StatedLimit.Stated, qt.IsFalse)
	for _, malformed := range []string{"-1", "many", ""} {
		header[hop.HeaderLimit] = []string{malformed}
		_, err = hop.OrderFrom(header)
		c.Check(err, qt.ErrorMatches, ".* is not a rate")
	}
}

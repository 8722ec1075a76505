package hop_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// TestAdmissionTravelsApart guards against sidecars of earlier versions that cannot read an order: the field
// of its own leaves the order as it was, and a malformed or missing one means that the request waits as before.
func TestAdmissionTravelsApart(t *testing.T) {
	c := qt.New(t)
	for _, sent := range []hop.Admission{{}, {Late: true}, {Late: true, Retried: true}, {Late: true, Retried: true, Elsewhere: true}} {
		header := http.Header{}
		order := hop.Order{Instance: "i-1", Admission: sent}
		order.AddTo(header)
		c.Check(header.Get(hop.Header), qt.Equals, hop.Order{Instance: "i-1"}.Encode())
		read, err := hop.OrderFrom(header)
		c.Assert(err, qt.IsNil)
		c.Check(read, qt.Equals, order)
		hop.Strip(header)
		c.Check(header, qt.HasLen, 0)
	}
	for text, want := range map[string]hop.Admission{
		"": {}, "retried": {}, "-1": {}, "late,": {Late: true}, "late,of a later version,retried": {Late: true, Retried: true},
		strings.Repeat("late,", 100): {},
	} {
		header := http.Header{}
		hop.Order{Instance: "i-1"}.AddTo(header)
		header[hop.HeaderAdmission] = []string{text}
		read, err := hop.OrderFrom(header)
		c.Assert(err, qt.IsNil)
		c.Check(read.Admission, qt.Equals, want, qt.Commentf("%q", text))
	}
}

package hop_test

import (
	"strings"
	"testing"
	"time"
	"unicode"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// TestOrderRoundTrip uses a different value in each field, so that swapped fields show.
func TestOrderRoundTrip(t *testing.T) {
	c := qt.New(t)
	order := hop.Order{
		Instance: "i-1", CallerService: "edge", Priority: 3, ValueRank: 9,
		Remaining: 4 * time.Millisecond, Due: 5 * time.Millisecond, MaxWait: 6 * time.Millisecond,
		ServiceTime: 7 * time.Millisecond, MeanServiceTime: 10 * time.Millisecond, Revision: 8, Repeatable: true, OnlyCandidate: true, RepeatPercent: 11, Failed: true,
	}
	for _, order.Tenant = range []string{"", "tenant-1"} {
		if order.Tenant != "" {
			order.KeyTag = "0a1b"
		}
		for _, order.Suspected = range []bool{false, true} {
			decoded, err := hop.DecodeOrder(order.Encode())
			c.Assert(err, qt.IsNil)
			c.Assert(decoded, qt.Equals, order)
		}
	}
}

// TestReportRoundTrip uses a different value in each field, so that swapped fields show.
func TestReportRoundTrip(t *testing.T) {
	c := qt.New(t)
	report := hop.Report{
		Outcome: hop.Rejected, Reason: hop.ReasonOverloaded, RetryAfter: 1 * time.Millisecond,
		Running: 2, Waiting: 3, Slots: 4, Execution: 5 * time.Millisecond, Backlog: 6 * time.Millisecond, LinkRate: 7, SlowdownPercent: 8, Waited: 9 * time.Millisecond,
		ColdFor: 10 * time.Millisecond, ExternalCallers: true,
	}
	decoded, err := hop.DecodeReport(report.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(decoded, qt.Equals, report)
}

// TestMalformedFields: a field that cannot be decoded is an error and gets no default value.
func TestMalformedFields(t *testing.T) {
	for _, text := range []string{"", "a;b", "i;c;x;1;1;1;1;1;1;1;1;1;1;1", "i;c;1;x;1;1;1;1;1;1;1;1;1;1", "i;c;1;1;1;1;1;1;1;1;2;1;1;1", "i;c;1;1;1;1;1;1;1;1;1;2;1;1",
		"i;c;1;1;1;1;1;1;1;1;1;1;x;1", "i;c;1;1;1;1;1;1;1;1;1;1;101;1", "i;c;1;1;1;1;1;1;1;1;1;1;-1;1", "i;c;1;1;1;1;1;1;1;1;1;1;1;2", "i;c;1;1;1;1;1;1;1;1;1;1;1", "i;c;1;1;1;1;1;1;1;1;1;1;1;1;1;1", "i;c;1;1;1;1;1;1;1;1;1;1;1;1;1;;tag", "i;c;1;1;1;1;1;1;1;1;1;1;1;1;x;t;tag", "i;c;1;1;1;1;1;1;1;1;1;1;1;1;1;t;tag;1", "i;c;1;1;1;1;1;1;1;1;1;1;1;1;2"} {
		_, err := hop.DecodeOrder(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
	for _, text := range []string{"", "a;", "z;;0;0;0;0;0;0;0;0;0;0;0", "a;;x;0;0;0;0;0;0;0;0;0;0", "a;;0;0;0;0;0;0;0;0;0;0;2", "a;;0;0;0;0;0"} {
		_, err := hop.DecodeReport(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

// TestOrderEscapesNames guards against a name that breaks the field into other fields, or ends it: each
// request of such a tenant or service would be refused as malformed.
func TestOrderEscapesNames(t *testing.T) {
	for _, name := range []string{"a b", " a", "a;b", "a%3Bb", "100%", "a\r\nX: y", "añil", "\x7f", ";;;"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			order := hop.Order{Instance: "i-1", CallerService: name, Tenant: name, KeyTag: "0102030405060708"}
			encoded := order.Encode()
			c.Check(strings.ContainsFunc(encoded, func(r rune) bool { return r <= ' ' || r >= unicode.MaxASCII }), qt.IsFalse)
			decoded, err := hop.DecodeOrder(encoded)
			c.Assert(err, qt.IsNil)
			c.Check(decoded, qt.DeepEquals, order)
		})
	}
	qt.Check(t, hop.Order{CallerService: "a-b_c.1/2"}.Encode(), qt.Contains, ";a-b_c.1/2;")
}

package hop_test

import (
	"math"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// The most bytes of the optional fields of a request and of a response, with names and separators. They are
// the same for any number of nodes.
const (
	maxOrderFieldBytes  = 49
	maxReportFieldBytes = 138
)

// fieldBytes returns the size of fields as HTTP/1.1 sends them.
func fieldBytes(header http.Header, names ...string) (bytes int) {
	const separators = len(": \r\n")
	for _, name := range names {
		for _, value := range header[name] {
			bytes += len(name) + len(value) + separators
		}
	}
	return bytes
}

// TestOptionalFieldsAreBounded guards against fields between nodes that grow with what a node knows: whatever
// the figures of an order and a report, the bytes stay below a bound.
func TestOptionalFieldsAreBounded(t *testing.T) {
	mostOfOrder, mostOfReport := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		order := hop.Order{Instance: "i-1", Admission: hop.Admission{
			Late: rapid.Bool().Draw(t, "late"), Retried: rapid.Bool().Draw(t, "retried"), Elsewhere: rapid.Bool().Draw(t, "elsewhere"),
		}}
		report := hop.Report{
			Outcome: hop.Answered, MomentaryPercent: rapid.IntRange(0, 10_000).Draw(t, "momentary"),
			Link: hop.Link{Backlog: time.Duration(rapid.Int64Min(0).Draw(t, "backlog")), Rate: rapid.IntRange(0, math.MaxInt).Draw(t, "rate")},
		}
		request, response := http.Header{}, http.Header{}
		order.AddTo(request)
		report.AddTo(response)
		ofOrder := fieldBytes(request, hop.HeaderAdmission)
		ofReport := fieldBytes(response, hop.HeaderLink, hop.HeaderMomentary, "Connection")
		if ofOrder > maxOrderFieldBytes || ofReport > maxReportFieldBytes {
			t.Fatalf("%d bytes in a request, %d in a response", ofOrder, ofReport)
		}
		mostOfOrder, mostOfReport = max(mostOfOrder, ofOrder), max(mostOfReport, ofReport)
	})
	typical := http.Header{}
	hop.Report{Outcome: hop.Answered, MomentaryPercent: 100, Link: hop.Link{Backlog: 400 * time.Millisecond, Rate: 1135}}.AddTo(typical)
	t.Logf("at most %d bytes seen in a request and %d in a response; %d with a backlog of 400 ms and a slowdown of 100",
		mostOfOrder, mostOfReport, fieldBytes(typical, hop.HeaderLink, hop.HeaderMomentary, "Connection"))
	largest := http.Header{}
	hop.Report{Outcome: hop.Answered, MomentaryPercent: 10_000, Link: hop.Link{Backlog: math.MaxInt64, Rate: math.MaxInt}}.AddTo(largest)
	qt.Check(t, fieldBytes(largest, hop.HeaderLink, hop.HeaderMomentary, "Connection"), qt.Equals, maxReportFieldBytes)
}

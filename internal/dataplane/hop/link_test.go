package hop_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// TestLinkTravelsApart checks that the link of a report has a field of its own, which sidecars of earlier
// versions remove like all fields that Connection lists, and that none is sent if the link is not known.
func TestLinkTravelsApart(t *testing.T) {
	c := qt.New(t)
	report := hop.Report{Outcome: hop.Answered, Slots: 4, Link: hop.Link{Backlog: 250 * time.Millisecond, Rate: 1135}}
	header := http.Header{"Other": {"1"}, hop.HeaderLink: {"set by the instance"}}
	report.AddTo(header)
	c.Check(header.Get(hop.Header), qt.Equals, hop.Report{Outcome: hop.Answered, Slots: 4}.Encode())
	read, err := hop.ReportFrom(header)
	c.Assert(err, qt.IsNil)
	c.Check(read, qt.Equals, report)

	earlier := header.Clone()
	delete(earlier, hop.Header)
	message.StripHopByHop(earlier)
	c.Check(earlier, qt.DeepEquals, http.Header{"Other": {"1"}})
	hop.StripReport(header)
	message.StripHopByHop(header)
	c.Check(header, qt.DeepEquals, http.Header{"Other": {"1"}})

	header[hop.HeaderLink] = []string{"100;100"}
	hop.Report{Outcome: hop.Answered}.AddTo(header)
	c.Check(header[hop.HeaderLink], qt.IsNil)
	c.Check(header["Connection"], qt.IsNil)
}

// TestMalformedLinkIsIgnored checks that a link that cannot be read does not invalidate its report.
func TestMalformedLinkIsIgnored(t *testing.T) {
	for name, values := range map[string][]string{
		"empty":          {""},
		"no numbers":     {"busy;fast"},
		"one figure":     {"100"},
		"three figures":  {"100;1000;1"},
		"negative":       {"-1;1000"},
		"negative rate":  {"1;-1000"},
		"no rate":        {"1;0"},
		"absurd backlog": {"3600000;1000"},
		"absurd rate":    {"1;999999999999"},
		"overflow":       {"99999999999999999999;1"},
		"fraction":       {"1.5;1000"},
		"two fields":     {"1;1000", "2;1000"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			want := hop.Report{Outcome: hop.Answered, Running: 3, Slots: 4}
			header := http.Header{hop.Header: {want.Encode()}, hop.HeaderLink: values}
			read, err := hop.ReportFrom(header)
			c.Assert(err, qt.IsNil)
			c.Check(read, qt.Equals, want)
		})
	}
}

// TestLinkIsBounded checks that figures beyond the bounds are sent as the bounds, as they would be ignored
// otherwise.
func TestLinkIsBounded(t *testing.T) {
	for _, link := range []hop.Link{
		{Backlog: time.Hour, Rate: 1 << 40}, {Backlog: -time.Second, Rate: 1},
	} {
		_, err := hop.DecodeLink(link.Encode())
		qt.Check(t, err, qt.IsNil)
	}
}

// FuzzDecodeLink: no text makes the decoder panic, and a decoded text keeps its meaning when it is encoded
// again.
func FuzzDecodeLink(f *testing.F) {
	f.Add("250;1135")
	f.Add("0;1")
	f.Add("-1;0")
	f.Add(";;")
	f.Fuzz(func(t *testing.T, text string) {
		link, err := hop.DecodeLink(text)
		if err != nil {
			return
		}
		again, err := hop.DecodeLink(link.Encode())
		if err != nil || again != link || !link.IsKnown() || link.Backlog < 0 {
			t.Fatalf("link %q changes when it is encoded again: %+v, %+v, %v", text, link, again, err)
		}
	})
}

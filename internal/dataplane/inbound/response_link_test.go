package inbound_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// busyEgress is a link with a rate of 1 MB per second and a backlog that the test sets.
type busyEgress struct {
	mutex    sync.Mutex
	backlog  time.Duration
	expected []int64
	ended    int
}

func (b *busyEgress) Expect(bytes int64) func() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expected = append(b.expected, bytes)
	return func() { b.ended++ }
}

func (b *busyEgress) Owed() time.Duration { return b.backlog }
func (b *busyEgress) Rate() float64       { return 1e6 }

// TestLargeResponsesWaitForTheLink checks at a whole proxy that the size of responses is learned, that the next
// one is expected, that the backlog is reported, and that a request which could not be answered in time is
// refused without having reached the instance.
func TestLargeResponsesWaitForTheLink(t *testing.T) {
	c := qt.New(t)
	reached := 0
	backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		reached++
		writer.Header()[idHeader] = request.Header[idHeader]
		writer.Header()[hop.HeaderLink] = []string{"1;1"} // must not pass for a report
		_, _ = writer.Write([]byte(strings.Repeat("x", 100_000)))
	}))
	t.Cleanup(backend.Close)
	address := strings.TrimPrefix(backend.URL, "http://")
	version := snapshot.Version{Revision: 1}
	route := snapshot.Route{Name: "r", Match: snapshot.Match{Host: "h.example"}, Targets: []snapshot.WeightedService{{Service: "a", Weight: 1}}, Timeout: time.Minute, MaxAttempts: 1}
	built, err := snapshot.New(version, []snapshot.Route{route}, []snapshot.Service{{Name: "a"}}, nil)
	c.Assert(err, qt.IsNil)
	egress := &busyEgress{}
	logger, lines := logrustest.NewNullLogger()
	proxy, err := inbound.New(inbound.Options{
		Names: message.Names{RequestID: idHeader}, Backend: address, Slots: 4, Logger: logger,
		Snapshots: fixedSnapshot{built.WithFleet(version, snapshot.Content{Instances: []snapshot.Instance{{
			Name: "i-1", Service: "a", Address: address, State: snapshot.InstanceReady, Slots: 4,
		}}})},
		Mechanisms: mechanism.All(), Egress: egress,
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(proxy.Close)
	serve := func(local bool) (*message.Response, hop.Report) {
		order := hop.Order{Instance: "i-1", Remaining: time.Minute, MaxWait: 500 * time.Millisecond, Local: local}
		request := &message.Request{ID: "q", Method: http.MethodGet, Target: "/", Path: "/", Host: "h.example", Header: http.Header{}, Arrived: time.Now()}
		if local {
			delivery := proxy.Deliver(context.Background(), request, order)
			return delivery.Response, delivery.Report
		}
		order.AddTo(request.Header)
		answer := proxy.Serve(context.Background(), request)
		report, err := hop.ReportFrom(answer.Header)
		c.Assert(err, qt.IsNil)
		return answer, report
	}

	answer, report := serve(false)
	c.Check(answer.Status, qt.Equals, http.StatusOK)
	c.Check(report.Link, qt.Equals, hop.Link{})
	c.Check(answer.Header[hop.HeaderLink], qt.IsNil)

	egress.backlog = 400 * time.Millisecond
	answer, report = serve(false)
	c.Check(answer.Status, qt.Equals, http.StatusOK)
	c.Check(report.Link, qt.Equals, hop.Link{Backlog: 400 * time.Millisecond, Rate: 976})
	c.Check(egress.expected, qt.DeepEquals, []int64{100_000})
	c.Check(egress.ended, qt.Equals, 1)

	egress.backlog = time.Minute
	_, report = serve(false)
	c.Check(report.Outcome, qt.Equals, hop.Refused)
	c.Check(report.Reason, qt.Equals, hop.ReasonLink)
	c.Check(report.RetryAfter > 0, qt.IsTrue)
	c.Check(reached, qt.Equals, 2)
	refused := proxy.Admit(context.Background(), &message.Request{
		ID: "q", Method: http.MethodPost, Target: "/", Path: "/", Host: "h.example", Arrived: time.Now(),
		Header: http.Header{hop.Header: {hop.Order{Instance: "i-1", Remaining: time.Minute, MaxWait: time.Second}.Encode()}},
	}, 2000)
	c.Assert(refused.Refusal, qt.IsNotNil) // before its body is sent
	c.Assert(lines.AllEntries(), qt.HasLen, 2)
	for _, line := range lines.AllEntries() { // the link and what the response asks of it explain both
		c.Check(line.Data["link_backlog_ms"], qt.Equals, int64(60_000))
		c.Check(line.Data["link_kib_per_second"], qt.Equals, 976)
		c.Check(line.Data["response_bytes"], qt.Equals, int64(100_000))
		c.Check(line.Data["wait_ms"].(int64) > 0, qt.IsTrue)
	}

	answer, report = serve(true) // a response from elsewhere would use the link as well
	c.Check(report.Outcome, qt.Equals, hop.Answered)
	c.Check(answer.Header[hop.HeaderLink], qt.IsNil)
	c.Check(egress.ended, qt.Equals, len(egress.expected))
}

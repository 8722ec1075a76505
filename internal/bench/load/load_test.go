package load_test

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// call returns a call that asks the emulated backend for a fault.
func call(id string, fault backend.Fault) load.Call {
	header := http.Header{}
	if fault != backend.FaultNone {
		header.Set(backend.HeaderFault, string(fault))
	}
	return load.Call{
		ID: id, Method: http.MethodPost, Host: "booking", Path: backend.PathEcho,
		BodyBytes: 4000, Timeout: 10 * time.Second, Header: header,
	}
}

// TestClasses sends calls directly to a backend and checks the class of each fault.
func TestClasses(t *testing.T) {
	instance := backend.New(backend.Options{Name: "b"})
	qt.Assert(t, instance.Start("127.0.0.1:0"), qt.IsNil)
	t.Cleanup(instance.Kill)
	for _, row := range []struct {
		fault backend.Fault
		class load.Class
		runs  int
	}{
		{backend.FaultNone, load.Answered, 1},
		{backend.FaultResetBeforeRead, load.Unknown, 0},
		{backend.FaultResetAfterRead, load.Unknown, 1},
		{backend.FaultResetMidAnswer, load.Cut, 1},
		{backend.FaultCloseMidAnswer, load.Cut, 1},
		{backend.FaultWrongLength, load.Cut, 1},
	} {
		t.Run(string(row.fault), func(t *testing.T) {
			sent := call("call-"+string(row.fault), row.fault)
			result := load.Send(load.NewTransport(), instance.Address(), sent, time.Now())
			qt.Assert(t, result.Class, qt.Equals, row.class, qt.Commentf("%s", result.Reason))
			qt.Assert(t, instance.Journal().Request(sent.ID).Started, qt.Equals, row.runs)
		})
	}
	address := instance.Address()
	instance.Kill()
	result := load.Send(load.NewTransport(), address, call("refused", ""), time.Now())
	qt.Assert(t, result.Class, qt.Equals, load.NotRun)
}

// roundTripFunc is a transport that calls a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }

// newResponse returns a complete response with a body and header fields.
func newResponse(status int, body []byte, header map[string]string) *http.Response {
	response := &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}
	for name, value := range header {
		response.Header.Set(name, value)
	}
	return response
}

// TestWrongResponses checks that responses to other requests and altered responses
// are classified as wrong.
func TestWrongResponses(t *testing.T) {
	sent := call("mine", "")
	correct := backend.Pattern("body of mine", sent.BodyBytes)
	other := backend.Pattern("body of other", sent.BodyBytes)
	flipped := bytes.Clone(correct)
	flipped[1234]++
	for _, row := range []struct {
		name   string
		id     string
		body   []byte
		header string
		class  load.Class
	}{
		{"correct", "mine", correct, "", load.Answered},
		{"ID of another request", "other", correct, "", load.Wrong},
		{"body of another request", "mine", other, "", load.Wrong},
		{"one byte changed", "mine", flipped, "", load.Wrong},
		{"truncated body with a matching checksum", "mine", correct[:10], "", load.Wrong},
		{"refused", "mine", nil, string(outcome.NotRun), load.NotRun},
		{"failed", "mine", nil, string(outcome.Unknown), load.Unknown},
	} {
		t.Run(row.name, func(t *testing.T) {
			transport := roundTripFunc(func(*http.Request) (*http.Response, error) {
				return newResponse(http.StatusOK, row.body, map[string]string{
					backend.HeaderRequest: row.id, backend.HeaderChecksum: backend.Checksum(row.body),
					outcome.HeaderOutcome: row.header,
				}), nil
			})
			qt.Assert(t, load.Send(transport, "entry:1", sent, time.Now()).Class, qt.Equals, row.class)
		})
	}
}

// TestStallDoesNotSlowArrivals checks, with a fake clock, that calls are started at the
// constant rate while none is answered, and that their latency includes the whole stall.
func TestStallDoesNotSlowArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var begun atomic.Int64
		release := make(chan struct{})
		transport := roundTripFunc(func(request *http.Request) (*http.Response, error) {
			begun.Add(1)
			<-release
			body, err := io.ReadAll(request.Body)
			return newResponse(http.StatusOK, body, map[string]string{
				backend.HeaderRequest:  request.Header.Get(backend.HeaderRequest),
				backend.HeaderChecksum: backend.Checksum(body),
			}), err
		})
		time.AfterFunc(2*time.Second, func() { close(release) })
		record, err := load.Run(t.Context(), load.Options{
			Rate: 100, Duration: time.Second, Transport: transport, Entries: load.NewEntries("entry:1"),
			Plan: func(number uint64) load.Call { return call(time.Duration(number).String(), "") },
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, begun.Load(), qt.Equals, int64(100))
		summary := record.Summary()
		qt.Assert(t, summary.Answered, qt.Equals, int64(100))
		for _, result := range record.Results() {
			if result.Call.ID == "0s" {
				qt.Assert(t, result.Latency, qt.Equals, 2*time.Second)
			}
		}
	})
}

// TestAudit checks that exactly the calls that violate a guarantee are listed.
func TestAudit(t *testing.T) {
	chained := load.Call{ID: "chained", Chain: []string{"next/call"}}
	journal := load.MergeJournals(
		backend.JournalRecord{Requests: map[string]backend.Runs{
			"good": {Started: 1, Finished: 1}, "twice": {Started: 1, Finished: 1}, "repeated": {Started: 1},
			"refused-but-ran": {Started: 1}, "chained": {Started: 1}, "chained+": {Started: 1},
		}},
		backend.JournalRecord{Requests: map[string]backend.Runs{
			"twice": {Started: 1}, "repeated": {Started: 1, Finished: 1}, "chained+": {Started: 1},
		}},
	)
	audit := load.Check([]load.Result{
		{Call: load.Call{ID: "good"}, Class: load.Answered},
		{Call: load.Call{ID: "twice"}, Class: load.Unknown},
		{Call: load.Call{ID: "repeated", MayRepeat: true}, Class: load.Answered},
		{Call: load.Call{ID: "refused-but-ran"}, Class: load.NotRun},
		{Call: load.Call{ID: "refused"}, Class: load.NotRun},
		{Call: load.Call{ID: "gone"}, Class: load.Answered},
		{Call: chained, Class: load.Unknown},
		{Call: load.Call{ID: "foreign"}, Class: load.Wrong},
	}, journal)
	qt.Assert(t, audit, qt.DeepEquals, load.Audit{
		Doubled: []string{"twice", "chained"}, Lost: []string{"gone"},
		RanThoughRefused: []string{"refused-but-ran"}, Wrong: []string{"foreign"},
	})
	qt.Assert(t, audit.Passed(), qt.IsFalse)
	qt.Assert(t, load.Audit{}.Passed(), qt.IsTrue)
}

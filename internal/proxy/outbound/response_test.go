package outbound_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Callers can neither set internal headers nor override a secret, and they receive
// neither of them.
func TestHeaders(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	arrived := make(chan *http.Request, 1)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		arrived <- request
		w.Header().Set(outcome.HeaderLoad, "0.5")
		w.Header().Set("X-Hop", "hop")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-End", "end")
		w.Header()["Content-Type"] = nil
		_, _ = io.WriteString(w, "<html>")
	})
	request := r.request("POST", "/trips/a%2Fb?x=1;y=2", strings.NewReader("body"))
	for name, value := range map[string]string{
		"Authorization": "forged", outcome.HeaderOutcome: "not-run", outcome.HeaderRoute: "forged",
		outcome.HeaderRemaining: "999999999", outcome.HeaderTarget: "forged/1", outcome.HeaderLoad: "0",
		"X-Listed": "hop", "Keep-Alive": "1", "X-End": "end",
		"Connection": "X-Listed, " + outcome.HeaderRoute, outcome.HeaderTimeout: "5000",
	} {
		request.Header.Set(name, value)
	}
	response, body := r.do(request)
	got := <-arrived
	for name, want := range map[string]string{
		"Authorization": "Bearer s3cret", outcome.HeaderOutcome: "", outcome.HeaderRoute: "booking/all",
		outcome.HeaderTarget: "a/7", outcome.HeaderLoad: "", "X-Listed": "", "Keep-Alive": "", "X-End": "end",
		outcome.HeaderTimeout: "", outcome.HeaderRemaining: got.Header.Get(outcome.HeaderRemaining),
	} {
		r.Check(got.Header.Get(name), qt.Equals, want, qt.Commentf("%s", name))
	}
	r.Check(got.Header.Get(outcome.HeaderRemaining), qt.Matches, "[1-4][0-9]{3}")
	r.Check(got.Host, qt.Equals, "booking.test")
	r.Check(got.RequestURI, qt.Equals, "/trips/a%2Fb?x=1;y=2")
	r.Check(body, qt.Equals, "<html>")
	for name, want := range map[string]string{
		outcome.HeaderLoad: "", "X-Hop": "", "X-End": "end", "Content-Type": "", "Authorization": "",
	} {
		r.Check(response.Header.Get(name), qt.Equals, want, qt.Commentf("%s", name))
	}
}

func TestTrailersAreForwardedBothWays(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	arrived := make(chan http.Header, 1)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		arrived <- request.Trailer
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-Sum", "1")
		w.Header().Set(http.TrailerPrefix+"X-Late", "2")
		w.Header().Set(http.TrailerPrefix+outcome.HeaderOutcome, "not-run")
	})
	request := r.request("POST", "/", io.MultiReader(strings.NewReader("body")))
	request.Trailer = http.Header{"X-Check": {"3"}, outcome.HeaderOutcome: {"not-run"}}
	response, body := r.do(request)
	r.Check(body, qt.Equals, "body")
	r.Check(<-arrived, qt.DeepEquals, http.Header{"X-Check": {"3"}})
	r.Check(response.Trailer, qt.DeepEquals, http.Header{"X-Sum": {"1"}, "X-Late": {"2"}})
}

// A response that breaks off reaches the caller as incomplete, however its end is
// marked.
func TestTruncatedResponsesStayTruncated(t *testing.T) {
	for _, test := range []struct{ name, protocol, sent string }{
		{"by length", "HTTP/1.1", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
		{"by chunks", "HTTP/1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"by chunks, before the trailer", "HTTP/1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"},
		{"by length, to HTTP/1.0", "HTTP/1.0", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
		{"by chunks, to HTTP/1.0", "HTTP/1.0", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			r.addInstance("a", respondAndClose(test.sent))
			_, reader := r.sendRaw("GET / " + test.protocol + "\r\nHost: booking.test\r\n\r\n")
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return // closed before the header
			}
			_, err = io.ReadAll(response.Body)
			r.Check(err, qt.IsNotNil)
		})
	}
}

func TestHeadAndEmptyResponses(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/none" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", "1234")
	})
	response, _ := r.do(r.request("HEAD", "/", nil))
	r.Check(response.ContentLength, qt.Equals, int64(1234))
	response, _ = r.do(r.request("GET", "/none", nil))
	r.Check(response.StatusCode, qt.Equals, http.StatusNoContent)
}

func TestInformationalResponsesAreForwarded(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Link", "</style>")
		w.Header().Set(outcome.HeaderLoad, "1")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "done")
	})
	var hints textproto.MIMEHeader
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		hints = header
		return nil
	}}
	request := r.request("GET", "/", nil)
	response, body := r.do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	r.Check(hints, qt.DeepEquals, textproto.MIMEHeader{"Link": {"</style>"}})
	r.Check(response.Header.Get("Link"), qt.Equals, "")
	r.Check(body, qt.Equals, "done")
}

// Only the instance can ask for the body of a request that expects "100 Continue".
func TestExpectContinue(t *testing.T) {
	for _, test := range []struct {
		name     string
		handler  http.HandlerFunc
		wantRead bool
	}{
		{"taken", respond("done"), true},
		{"refused", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(417) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			r.addInstance("a", test.handler)
			conn, reader := r.sendRaw("POST / HTTP/1.1\r\nHost: booking.test\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
			line, err := reader.ReadString('\n')
			r.Assert(err, qt.IsNil)
			if !test.wantRead {
				r.Check(line, qt.Matches, "HTTP/1.1 417 .*\r\n")
				return
			}
			r.Assert(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
			_, err = reader.ReadString('\n')
			r.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, "body")
			r.Assert(err, qt.IsNil)
			response, err := http.ReadResponse(reader, nil)
			r.Assert(err, qt.IsNil)
			r.Check(response.StatusCode, qt.Equals, 200)
		})
	}
}

// Sends numbered requests concurrently, some of whose responses break off: each
// complete response belongs to its request, byte for byte.
func TestResponsesBelongToTheirRequests(t *testing.T) {
	r := newHarness(t)
	r.configure(func(route *snapshot.Route) { route.RepeatMethods = nil })
	text := func(number string) string { return strings.Repeat(number+";", 3000) }
	for _, name := range []string{"a", "b"} {
		r.addInstance(name, func(w http.ResponseWriter, request *http.Request) {
			number := request.URL.Path[1:]
			if strings.HasSuffix(number, "3") {
				respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n"+text(number))(w, request)
				return
			}
			_, _ = io.WriteString(w, text(number))
		})
	}
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 30 {
				number := fmt.Sprint(worker*100 + i)
				response, err := r.client.Do(r.request("POST", "/"+number, nil))
				if err != nil {
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err == nil && response.Header.Get(outcome.HeaderOutcome) == "" && string(body) != text(number) {
					t.Errorf("request %s got the response of another request", number)
				}
				if err == nil && strings.HasSuffix(number, "3") && response.StatusCode == 200 {
					t.Errorf("request %s: a truncated response arrived as complete", number)
				}
			}
		})
	}
	group.Wait()
}

// Requests that two HTTP parsers may interpret differently are refused, and no part of
// them reaches an instance as a complete request.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	const host = "Host: booking.test\r\n"
	for _, test := range []struct{ name, text, status string }{
		{"two lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		{"length list", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1, 2\r\n\r\nab", "400"},
		{"signed length", "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\na", "400"},
		{"unknown coding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501"},
		{"two codings", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", "400|501"},
		{"space before colon", "GET / HTTP/1.1\r\n" + host + "X-A : b\r\n\r\n", "400"},
		{"folded line", "GET / HTTP/1.1\r\n" + host + " folded\r\n\r\n", "400"},
		{"bare CR", "GET / HTTP/1.1\r\n" + host + "X-A: b\rX-B: c\r\n\r\n", "400"},
		{"NUL in a value", "GET / HTTP/1.1\r\n" + host + "X-A: b\x00\r\n\r\n", "400"},
		{"two hosts", "GET / HTTP/1.1\r\n" + host + "Host: other.test\r\n\r\n", "400"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
		{"bad chunk size", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
		{"CONNECT", "CONNECT booking.test:80 HTTP/1.1\r\n" + host + "\r\n", "405"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
				if _, err := io.ReadAll(request.Body); err == nil {
					t.Error("the complete request reached an instance")
				}
			})
			_, reader := r.sendRaw(test.text)
			response, err := http.ReadResponse(reader, nil)
			r.Assert(err, qt.IsNil)
			r.Check(response.Status, qt.Matches, "("+test.status+") .*")
		})
	}
}

// If a request has both a length and chunked encoding, the chunked encoding applies
// (RFC 9112, 6.3) and the length is not forwarded. An absolute target is forwarded as
// a path.
func TestNormalizedRequests(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	arrived := make(chan *http.Request, 1)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		arrived <- request
	})
	_, reader := r.sendRaw("POST http://booking.test/trips?x HTTP/1.1\r\nHost: other.test\r\n" +
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	_, err := http.ReadResponse(reader, nil)
	r.Assert(err, qt.IsNil)
	got := <-arrived
	r.Check(got.RequestURI, qt.Equals, "/trips?x")
	r.Check(got.Host, qt.Equals, "booking.test")
	r.Check(got.ContentLength, qt.Equals, int64(-1))
	r.Check(got.Header.Get("Content-Length"), qt.Equals, "")
}

// A body of unknown length is refused when it exceeds the limit. The outcome is unknown
// then, as part of it was already sent.
func TestStreamedBodyOverTheLimit(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	r.addInstance("a", respond("done"))
	body := io.LimitReader(endless{}, bodyLimit+1)
	response, _ := r.do(r.request("POST", "/", body))
	r.checkProblem(response, 413, outcome.Unknown, outcome.ReasonTooLarge)
}

type endless struct{}

func (endless) Read(data []byte) (int, error) { return len(data), nil }

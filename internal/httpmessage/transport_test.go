package httpmessage_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/httpmessage"
)

// serveRaw answers each request on a connection of its own with the given bytes, and returns the URL.
func serveRaw(c *qt.C, sent string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ended := make(chan struct{})
	c.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, sent)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestTransportRejectsMalformedResponses guards against responses that violate the protocol and that a bare
// http.Transport returns.
func TestTransportRejectsMalformedResponses(t *testing.T) {
	const ok, framed, chunked = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\n"
	for name, row := range map[string]struct {
		sent  string
		valid bool
	}{
		"proper":                             {ok + framed, true},
		"without a length":                   {ok + "\r\nok", true},
		"interim responses":                  {interim + "Link: </a>\r\n\r\n" + ok + framed, true},
		"a trailer":                          {ok + chunked + "\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		"a length beside chunks":             {ok + chunked + "Content-Length: 9\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"status 000":                         {"HTTP/1.1 000 Odd\r\n" + framed, false},
		"status 099":                         {"HTTP/1.1 099 Odd\r\n" + framed, false},
		"status +20":                         {"HTTP/1.1 +20 Odd\r\n" + framed, false},
		"status 600":                         {"HTTP/1.1 600 Odd\r\n" + framed, false},
		"version 3.7":                        {"HTTP/3.7 200 OK\r\n" + framed, false},
		"a blank in a name":                  {ok + "Foo Bar: x\r\n" + framed, false},
		"a blank before the colon":           {ok + "Content-Length : 2\r\n\r\nok", false},
		"a control byte in a name":           {ok + "Fo\x01o: x\r\n" + framed, false},
		"NUL in a value":                     {ok + "Foo: a\x00b\r\n" + framed, false},
		"a blank in an interim name":         {interim + "Foo Bar: x\r\n\r\n" + ok + framed, false},
		"a blank in a trailer's name":        {ok + chunked + "\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n", false},
		"a control byte in a trailer's name": {ok + chunked + "\r\n2\r\nok\r\n0\r\nX\x01Sum: 1\r\n\r\n", false},
		"cut off in a chunk":                 {ok + chunked + "\r\n5\r\nok", false},
	} {
		for method, body := range map[string]string{http.MethodGet: "", http.MethodPost: "body"} {
			t.Run(name+", "+method, func(t *testing.T) {
				c := qt.New(t)
				transport := &httpmessage.Transport{Transport: &http.Transport{}}
				defer transport.CloseIdleConnections()
				request, err := http.NewRequestWithContext(t.Context(), method, serveRaw(c, row.sent), strings.NewReader(body))
				c.Assert(err, qt.IsNil)
				traced := 0 // the hooks of the caller stay in effect
				request = request.WithContext(httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
					Got1xxResponse: func(int, textproto.MIMEHeader) error { traced++; return nil },
				}))
				response, err := transport.RoundTrip(request)
				var read []byte
				if err == nil {
					read, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				c.Assert(err == nil, qt.Equals, row.valid, qt.Commentf("%q, %v", read, err))
				if row.valid {
					c.Check(string(read), qt.Equals, "ok")
				}
				c.Check(traced > 0, qt.Equals, strings.HasPrefix(row.sent, interim))
			})
		}
	}
}

// TestTransportClosesMalformedResponses guards against connections that stay open, or are used again, after a malformed
// response.
func TestTransportClosesMalformedResponses(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	closed := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			closed <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		_, err = reader.ReadByte()
		closed <- err
	}()
	transport := &httpmessage.Transport{Transport: &http.Transport{}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	_, err = transport.RoundTrip(request)
	c.Check(errors.Is(err, httpmessage.ErrMalformed), qt.IsTrue)
	c.Check(errors.Is(<-closed, io.EOF), qt.IsTrue)
}

// BenchmarkCheckResponse measures what the check of a usual header costs for each response.
func BenchmarkCheckResponse(b *testing.B) {
	response := &http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Header: http.Header{
		"Winchhead-Request-Id": {"9c41d07be2a35f68"}, "Winchhead-Server-Stamp": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Winchhead-Server-Load": {"3,0,8"},
		"Content-Type": {"application/json"}, "Content-Length": {"3000"}, "Date": {"Mon, 07 Dec 2026 17:00:00 GMT"}, "Keep-Alive": {"timeout=5"},
	}}
	b.ReportAllocs()
	for b.Loop() {
		if err := httpmessage.CheckResponse(response); err != nil {
			b.Fatal(err)
		}
	}
}

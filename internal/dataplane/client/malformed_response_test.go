package client_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// TestMalformedResponses guards against responses that violate the protocol and are passed on as an answer: the next
// parser may read them differently.
func TestMalformedResponses(t *testing.T) {
	const ok, id, framed = "HTTP/1.1 200 OK\r\n", instance.HeaderID + ": q\r\n", "Content-Length: 2\r\n\r\nok"
	const chunked = "Transfer-Encoding: chunked\r\n"
	for name, row := range map[string]struct {
		sent  string
		valid bool
	}{
		"proper":                             {ok + id + framed, true},
		"no reason phrase":                   {"HTTP/1.1 200 \r\n" + id + framed, true},
		"version 1.0":                        {"HTTP/1.0 200 OK\r\n" + id + framed, true},
		"status 599":                         {"HTTP/1.1 599 Odd\r\n" + id + framed, true},
		"interim responses":                  {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + id + framed, true},
		"a trailer":                          {ok + id + chunked + "\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		"a folded line":                      {ok + id + "X: a\r\n b\r\n" + framed, true},                                 // RFC 9112, section 5.2
		"a length beside chunks":             {ok + id + chunked + "Content-Length: 9\r\n\r\n2\r\nok\r\n0\r\n\r\n", true}, // section 6.3: the chunks count
		"status 000":                         {"HTTP/1.1 000 Odd\r\n" + id + framed, false},
		"status 000 before a proper one":     {"HTTP/1.1 000 Odd\r\n\r\n" + ok + id + framed, false},
		"status 099":                         {"HTTP/1.1 099 Odd\r\n" + id + framed, false},
		"status 099 before a proper one":     {"HTTP/1.1 099 Odd\r\n\r\n" + ok + id + framed, false},
		"status +20":                         {"HTTP/1.1 +20 Odd\r\n" + id + framed, false},
		"status -20":                         {"HTTP/1.1 -20 Odd\r\n" + id + framed, false},
		"status 101":                         {"HTTP/1.1 101 Switching Protocols\r\n" + id + "\r\n", false},
		"status 600":                         {"HTTP/1.1 600 Odd\r\n" + id + framed, false},
		"status 999":                         {"HTTP/1.1 999 Odd\r\n" + id + framed, false},
		"status of four digits":              {"HTTP/1.1 2000 OK\r\n" + id + framed, false},
		"version 3.7":                        {"HTTP/3.7 200 OK\r\n" + id + framed, false},
		"version 0.9":                        {"HTTP/0.9 200 OK\r\n" + id + framed, false},
		"a blank in a name":                  {ok + id + "Foo Bar: x\r\n" + framed, false},
		"a blank before the colon":           {ok + id + "Foo : x\r\n" + framed, false},
		"a blank before the colon, a length": {ok + id + "Content-Length : 2\r\n\r\nok", false},
		"a blank before the colon, chunks":   {ok + id + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"a tab before the colon":             {ok + id + "Foo\t: x\r\n" + framed, false},
		"a control byte in a name":           {ok + id + "Fo\x01o: x\r\n" + framed, false},
		"a delete byte in a name":            {ok + id + "Fo\x7fo: x\r\n" + framed, false},
		"an empty name":                      {ok + id + ": x\r\n" + framed, false},
		"a line without a colon":             {ok + id + "Foo\r\n" + framed, false},
		"a blank before the first name":      {ok + " Foo: x\r\n" + id + framed, false},
		"NUL in a value":                     {ok + id + "Foo: a\x00b\r\n" + framed, false},
		"CR in a value":                      {ok + id + "Foo: a\rb\r\n" + framed, false},
		"two lengths":                        {ok + id + "Content-Length: 3\r\n" + framed, false},
		"a negative length":                  {ok + id + "Content-Length: -2\r\n\r\nok", false},
		"an unknown transfer coding":         {ok + id + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"chunks in version 1.0":              {"HTTP/1.0 200 OK\r\n" + id + chunked + "\r\n2\r\nok\r\n0\r\n\r\n", false}, // section 6.1
		"a blank in an interim name":         {"HTTP/1.1 103 Early Hints\r\nFoo Bar: x\r\n\r\n" + ok + id + framed, false},
		"a blank in a trailer's name":        {ok + id + chunked + "\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n", false},
		"a control byte in a trailer's name": {ok + id + chunked + "\r\n2\r\nok\r\n0\r\nX\x01Sum: 1\r\n\r\n", false},
		"a skipped one with a blank":         {ok + instance.HeaderID + ": other\r\nFoo Bar: x\r\n" + framed + ok + id + framed, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			pool := newPool(t, &instance.Instance{
				Name: "i-1", Plan: func(string) instance.Fault { return instance.Raw }, RawAnswer: func(string) string { return row.sent },
			})
			response, err := pool.Do(context.Background(), &client.Request{
				Method: http.MethodGet, Target: "/t", Host: "h.example", ID: "q", Header: http.Header{instance.HeaderID: {"q"}},
			})
			var body []byte
			if err == nil {
				body, _, err = response.Buffer()
				_ = response.Close()
			}
			c.Assert(err == nil, qt.Equals, row.valid, qt.Commentf("%q, %v", body, err))
			if row.valid {
				c.Check(string(body), qt.Equals, "ok")
				return
			}
			var failure *client.Error
			if errors.As(err, &failure) {
				c.Check(failure.Invalid, qt.IsTrue)
			}
		})
	}
}

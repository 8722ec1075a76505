package outbound_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Requests that the proxy itself refuses never reach an instance.
func TestRefusedBeforeSending(t *testing.T) {
	headers := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for _, test := range []struct {
		fault  string
		change func(*http.Request)
		status int
		reason outcome.Reason
	}{
		{"unknown host", func(r *http.Request) { r.Host = "other.test" }, 404, outcome.ReasonNoRoute},
		{"TRACE", func(r *http.Request) { r.Method = http.MethodTrace }, 405, outcome.ReasonBadRequest},
		{"dot segment", func(r *http.Request) { r.URL.Opaque = "/trips/../admin" }, 400, outcome.ReasonBadRequest},
		{"encoded dot segment", func(r *http.Request) { r.URL.Opaque = "/trips/%2e%2E/admin" }, 400, outcome.ReasonBadRequest},
		{"other scheme", func(r *http.Request) { r.URL.Opaque = "ftp://booking.test/" }, 400, outcome.ReasonBadRequest},
		{"large header", headers("X-Large", strings.Repeat("x", headerLimit)), 431, outcome.ReasonTooLarge},
		{"large body", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("")), bodyLimit+1
			r.Header.Set("Expect", "100-continue")
		}, 413, outcome.ReasonTooLarge},
		{"timeout is not a number", headers(outcome.HeaderTimeout, "soon"), 400, outcome.ReasonBadRequest},
		{"negative timeout", headers(outcome.HeaderTimeout, "-1"), 400, outcome.ReasonBadRequest},
		{"deadline already exceeded", headers(outcome.HeaderTimeout, "0"), 504, outcome.ReasonDeadline},
	} {
		t.Run(test.fault, func(t *testing.T) {
			r := newHarness(t)
			r.client.Transport.(*http.Transport).ExpectContinueTimeout = time.Minute
			r.configure(nil)
			r.addInstance("a", func(http.ResponseWriter, *http.Request) { t.Error("the request reached an instance") })
			request := r.request("POST", "/trips", nil)
			test.change(request)
			response, _ := r.do(request)
			r.checkProblem(response, test.status, outcome.NotRun, test.reason)
		})
	}
}

func TestRefusedWithoutConfigurationOrInstance(t *testing.T) {
	r := newHarness(t)
	response, _ := r.do(r.request("GET", "/", nil))
	r.checkProblem(response, 503, outcome.NotRun, outcome.ReasonNoConfiguration)
	r.Check(response.Header.Get("Retry-After"), qt.Equals, "1")

	r.configure(nil)
	r.addMember("draining", "127.0.0.1:1", membership.StateDraining)
	response, _ = r.do(r.request("GET", "/", nil))
	r.checkProblem(response, 503, outcome.NotRun, outcome.ReasonNoInstance)
}

// A response sent before the body was read ends the request, even if the caller
// neither sends the rest of the body nor closes the connection.
func TestResponseBeforeTheBodyArrived(t *testing.T) {
	for _, test := range []struct {
		host   string
		status int
	}{
		{"booking.test", 417},
		{"other.test", 404},
	} {
		t.Run(test.host, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
				_ = http.NewResponseController(w).EnableFullDuplex()
				w.Header().Set("Connection", "close")
				w.WriteHeader(417)
			})
			_, reader := r.sendRaw("POST / HTTP/1.1\r\nHost: " + test.host + "\r\nContent-Length: 10\r\n\r\nhalf")
			response, err := http.ReadResponse(reader, nil)
			r.Assert(err, qt.IsNil)
			r.Check(response.StatusCode, qt.Equals, test.status)
			_, err = io.ReadAll(reader)
			r.Check(err, qt.IsNil) // the proxy has closed the connection
		})
	}
}

// The unread rest of a body is never interpreted as a request (request smuggling).
func TestUnreadBodyIsNotARequest(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: booking.test\r\n\r\n"
	for _, host := range []string{"booking.test", "other.test"} {
		t.Run(host, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/smuggled" {
					t.Error("the rest of a body ran as a request")
				}
				respondWithoutReading("HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n")(w, request)
			})
			conn, reader := r.sendRaw(fmt.Sprintf("POST / HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", host, 1000+len(smuggled)))
			_, _ = io.WriteString(conn, strings.Repeat("x", 1000))
			response, err := http.ReadResponse(reader, nil)
			r.Assert(err, qt.IsNil)
			r.Check(response.Close, qt.IsTrue)
			_, _ = io.WriteString(conn, smuggled)
			_, _ = io.Copy(io.Discard, reader) // until the proxy has closed the connection
		})
	}
}

// A caller that does not read the response uses no resources after the route's timeout.
func TestCallerDoesNotRead(t *testing.T) {
	r := newHarness(t)
	r.configure(func(route *snapshot.Route) { route.Timeout = 100 * time.Millisecond })
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(w, endless{})
	})
	_, reader := r.sendRaw("GET / HTTP/1.1\r\nHost: booking.test\r\n\r\n")
	_, err := reader.ReadByte()
	r.Assert(err, qt.IsNil)
	r.Check(r.proxy.Drain(context.Background()), qt.IsNil)
}

// With TLS, requests are sent only to instances with a trusted certificate.
func TestTLS(t *testing.T) {
	instance := httptest.NewUnstartedServer(respond("done"))
	instance.Config.ErrorLog = log.New(io.Discard, "", 0)
	instance.StartTLS()
	defer instance.Close()
	trusted := x509.NewCertPool()
	trusted.AddCert(instance.Certificate())
	for _, test := range []struct {
		name   string
		config *tls.Config
		status int
	}{
		{"trusted", &tls.Config{RootCAs: trusted}, 200},
		{"unknown authority", &tls.Config{RootCAs: x509.NewCertPool()}, 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTLSHarness(t, test.config)
			r.configure(nil)
			r.addMember("a", instance.Listener.Addr().String(), membership.StateReady)
			response, _ := r.do(r.request("POST", "/", strings.NewReader("booking")))
			r.Check(response.StatusCode, qt.Equals, test.status)
			if test.status == 502 {
				r.checkProblem(response, 502, outcome.NotRun, outcome.ReasonConnect)
			}
		})
	}
}

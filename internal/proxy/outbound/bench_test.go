package outbound_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// BenchmarkRequest measures a request sent directly to an instance and one sent
// through the proxy; the difference is the cost of the proxy. Client and instance run
// in the same process and are included in both.
func BenchmarkRequest(b *testing.B) {
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()[outcome.HeaderLoad] = []string{"0.25"}
		_, _ = io.WriteString(w, "done")
	}))
	defer instance.Close()
	r := newHarness(b)
	r.configure(nil)
	r.addMember("a", instance.Listener.Addr().String(), membership.StateReady)
	for name, address := range map[string]string{
		"direct": instance.Listener.Addr().String(), "proxied": r.address,
	} {
		request := r.request("GET", "/trips/7", nil)
		request.URL.Host = address
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.do(request)
			}
		})
	}
}

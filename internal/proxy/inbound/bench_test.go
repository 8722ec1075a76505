package inbound

import (
	"io"
	"net/http"
	"testing"

	"github.com/winchhead/winchhead/internal/emulator/backend"
)

// BenchmarkRequest measures one request through the proxy to an emulated backend and
// back, including the work of the sender and of the backend.
func BenchmarkRequest(b *testing.B) {
	emulated := backend.New(backend.Options{})
	if err := emulated.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	defer emulated.Kill()
	r := newRigForAddress(b, emulated.Address(), plainSettings())
	b.ReportAllocs()
	for b.Loop() {
		response, err := r.client.Do(r.request(b.Context(), http.MethodPost, backend.PathEcho, "a booking"))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

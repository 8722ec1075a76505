package server_test

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkExchange measures one request on a connection that waits for it, its client included.
func BenchmarkExchange(b *testing.B) {
	r, request := newTestServer(b, echo), get("1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(r.conn, request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(r.reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

package platform

import (
	"net/http"
	"strconv"
	"time"
)

// slowPiece is the size in bytes of the pieces of FaultSlow.
const slowPiece = 16

// garbage is the body of FaultGarbage.
const garbage = "\x00\xff{]this is no JSON"

// send writes a JSON body, whole or as the fault has it.
func send(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	if fault.Kind == FaultGarbage {
		body = []byte(garbage)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch fault.Kind {
	case FaultTruncated:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // net/http closes the connection before the body's end
	case FaultSlow:
		trickle(w, r, fault.Pause, body)
	default:
		_, _ = w.Write(body)
	}
}

// trickle writes the body piece by piece until it is whole or the client goes.
func trickle(w http.ResponseWriter, r *http.Request, pause time.Duration, body []byte) {
	for len(body) > 0 {
		piece := min(slowPiece, len(body))
		if _, err := w.Write(body[:piece]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		body = body[piece:]
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}

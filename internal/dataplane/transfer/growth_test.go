package transfer

import (
	"io"
	"testing"
	"unsafe"

	qt "github.com/frankban/quicktest"
)

// maxBodyBytes bounds the state of a large body in progress, without its contents.
const maxBodyBytes = 192

// TestStateOfBodiesIsFixed guards against state of the schedule beyond a fixed size for each body in progress.
func TestStateOfBodiesIsFixed(t *testing.T) {
	size := unsafe.Sizeof(body{})
	t.Logf("%d bytes a body in progress, %d for the schedule", size, unsafe.Sizeof(schedule{}))
	qt.Check(t, size <= maxBodyBytes, qt.IsTrue)
}

// BenchmarkSmallMessage measures what the schedule adds to a message that is written at once.
func BenchmarkSmallMessage(b *testing.B) {
	egress, message := NewEgress(10e6/8), make([]byte, 1500)
	b.ReportAllocs()
	for b.Loop() {
		if err := egress.Write(io.Discard, message, Order{}); err != nil {
			b.Fatal(err)
		}
	}
}

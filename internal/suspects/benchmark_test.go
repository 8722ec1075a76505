package suspects

import (
	"fmt"
	"testing"
)

// BenchmarkAssess gives the cost per request while nothing is suspected (an atomic load)
// and while something is (mostly hashing of the body).
func BenchmarkAssess(b *testing.B) {
	for _, bytes := range []int{0, 64 << 10} {
		for _, suspected := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d bytes, suspects %v", bytes, suspected), func(b *testing.B) {
				tracker := NewTracker()
				if suspected {
					tracker.Crashed("i", []InProgress{{Fingerprint: fingerprintOf("other")}})
				}
				body := make([]byte, bytes)
				b.ReportAllocs()
				for b.Loop() {
					if !tracker.IsEmpty() {
						tracker.Assess(NewFingerprint("GET", "host.example", "/some/path/of/a/request", body))
					}
				}
			})
		}
	}
}

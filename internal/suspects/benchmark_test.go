package suspects

import (
	"fmt"
	"testing"
)

// BenchmarkAssess: what a request costs while nothing is suspected (2 ns, an atomic load; none
// before there were suspects), and while something is (1.0 us without a body, 50 us with one of
// 64 KB, most of it the hash), on a machine that was busy with other work.
func BenchmarkAssess(b *testing.B) {
	for _, bytes := range []int{0, 64 << 10} {
		for _, occupied := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d bytes, suspects %v", bytes, occupied), func(b *testing.B) {
				ledger := NewLedger()
				if occupied {
					ledger.Crashed("i", []InProgress{{Fingerprint: content("other")}})
				}
				body := make([]byte, bytes)
				b.ReportAllocs()
				for b.Loop() {
					if !ledger.IsEmpty() {
						ledger.Assess(Of("GET", "host.example", "/some/path/of/a/request", body))
					}
				}
			})
		}
	}
}

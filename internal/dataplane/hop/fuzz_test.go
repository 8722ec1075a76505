package hop_test

import (
	"testing"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// FuzzDecode: no text makes the decoders panic, and a decoded text keeps its meaning when it is
// encoded again.
func FuzzDecode(f *testing.F) {
	f.Add("i-1;front;1;1000;100;200;50;7;1;0")
	f.Add("a;;0;1;2;3;4")
	f.Add(";;;;;;;;;;;;")
	f.Fuzz(func(t *testing.T, text string) {
		if order, err := hop.DecodeOrder(text); err == nil {
			again, err := hop.DecodeOrder(order.Encode())
			if err != nil || again.Encode() != order.Encode() {
				t.Fatalf("order %q changes when it is encoded again: %v", text, err)
			}
		}
		if report, err := hop.DecodeReport(text); err == nil {
			again, err := hop.DecodeReport(report.Encode())
			if err != nil || again.Encode() != report.Encode() {
				t.Fatalf("report %q changes when it is encoded again: %v", text, err)
			}
		}
	})
}

package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSpeed checks that the ratio to ordinary instances is reported once enough requests were
// measured, that it follows a change, and that no single request changes it much.
func TestSpeed(t *testing.T) {
	const ordinary = 100 * time.Millisecond
	c := qt.New(t)
	var measured speedEstimate
	for range minSamples - 1 {
		measured.record(2*ordinary, ordinary)
	}
	c.Check(measured.hundredths(), qt.Equals, 0)
	measured.record(2*ordinary, ordinary)
	c.Check(measured.hundredths(), qt.Equals, 200)
	for range 300 {
		measured.record(ordinary/2, ordinary)
	}
	c.Check(measured.hundredths() < 60, qt.IsTrue)
	before := measured.hundredths()
	measured.record(time.Hour, ordinary)
	c.Check(measured.hundredths() < before+20, qt.IsTrue)
	measured.record(time.Second, 0) // ordinary time not known
	measured.record(0, ordinary)
	c.Check(measured.hundredths() < before+20, qt.IsTrue)
}

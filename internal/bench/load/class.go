// Package load generates numbered requests at a constant rate that doesn't depend
// on the responses, checks every byte of each response and classifies the outcomes.
// Latency is measured from the intended send time, so that the delays of a stalled
// system are counted in full (no coordinated omission).
package load

// Class is the outcome of one request as its caller saw it.
type Class uint8

// The classes. Each request has exactly one.
const (
	// Answered: the complete, correct response came before the deadline.
	Answered Class = iota
	// Late: the complete, correct response came after the deadline.
	Late
	// NotRun: the request was refused with the guarantee that it did not run.
	NotRun
	// Unknown: the request failed and may have run.
	Unknown
	// Cut: the response began but was cut off.
	Cut
	// Rejected: the backend itself responded with an error status.
	Rejected
	// Wrong: the response looked complete but was not the expected one.
	Wrong

	classCount = int(Wrong) + 1
)

var classNames = [classCount]string{"answered", "late", "not_run", "unknown", "cut", "rejected", "wrong"}

// String returns the name of the class in reports.
func (c Class) String() string {
	if int(c) >= classCount {
		return "invalid"
	}
	return classNames[c]
}

// MarshalText encodes the class as String does.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

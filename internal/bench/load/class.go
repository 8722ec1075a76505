// Package load generates numbered requests at a constant rate that does not
// depend on the answers, checks every byte of each answer and sorts the
// outcomes. Latency is measured from the time a request was meant to be sent,
// so that a stalled system cannot hide its own delay (coordinated omission).
package load

// Class is what became of one request, as its caller saw it.
type Class uint8

// The classes. Exactly one holds for each request.
const (
	// Answered: the whole right answer came before the deadline.
	Answered Class = iota
	// Late: the whole right answer came after the deadline.
	Late
	// NotRun: refused with the promise that nothing ran.
	NotRun
	// Unknown: failed, and it may have run.
	Unknown
	// Cut: the answer began and ended before its end.
	Cut
	// Rejected: the back end itself answered with an error status.
	Rejected
	// Wrong: an answer that looked complete was not the one to this request.
	Wrong

	classCount = int(Wrong) + 1
)

var classNames = [classCount]string{"answered", "late", "not_run", "unknown", "cut", "rejected", "wrong"}

// String returns the class in lower case, as reports name it.
func (c Class) String() string {
	if int(c) >= classCount {
		return "invalid"
	}
	return classNames[c]
}

// MarshalText encodes the class as String does.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

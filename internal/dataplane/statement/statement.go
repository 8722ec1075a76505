// Package statement holds what instances state about themselves in their answers: that they limit
// the rate of their requests, and that they leave.
package statement

import (
	"net/http"
	"strconv"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// Statement is what one answer states about the instance that gave it.
type Statement struct {
	// Limit is the limit on the rate of requests that the answer states, if any.
	Limit Limit
	// Leaving is set if the instance leaves: it must get no further requests.
	Leaving bool
	// MalformedLimit is set if the answer has a limit that is no decimal number. It then tells neither
	// that there is a limit nor that there is none.
	MalformedLimit bool
}

// Limit is a limit on the requests that an instance takes from all nodes together. The zero value is
// no limit.
type Limit struct {
	Stated bool
	// PerSecond is the rate, zero or more. Unused if Stated is false.
	PerSecond float64
}

// isBelow reports whether the limit allows less than the other.
func (l Limit) isBelow(other Limit) bool {
	return l.Stated && (!other.Stated || l.PerSecond < other.PerSecond)
}

// IsEmpty reports whether the answer states nothing.
func (s Statement) IsEmpty() bool { return s == Statement{} }

// leavingValue is the only value with which an answer states that its instance leaves.
const leavingValue = "1"

// Decode returns what an answer states, by the fields that names give.
func Decode(names message.Names, header http.Header) Statement {
	var decoded Statement
	if values := header[names.Leaving]; len(values) == 1 {
		decoded.Leaving = values[0] == leavingValue
	}
	values := header[names.Limit]
	if len(values) == 0 {
		return decoded
	}
	perSecond, ok := ParseRate(values[0])
	if !ok || len(values) > 1 {
		decoded.MalformedLimit = true
		return decoded
	}
	decoded.Limit = Limit{Stated: true, PerSecond: perSecond}
	return decoded
}

// ParseRate parses a decimal number such as "4", "4.25" or ".5". Signs, exponents and the other
// notations that strconv accepts are no decimal numbers.
func ParseRate(text string) (rate float64, ok bool) {
	digits, dots := 0, 0
	for _, character := range text {
		switch {
		case character >= '0' && character <= '9':
			digits++
		case character == '.':
			dots++
		default:
			return 0, false
		}
	}
	if digits == 0 || dots > 1 {
		return 0, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	return rate, err == nil
}

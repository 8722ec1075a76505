package outcome

import (
	"strconv"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

// TargetOf returns the value of HeaderTarget for a process.
func TargetOf(node membership.NodeID, incarnation membership.Incarnation) string {
	return string(node) + "/" + strconv.FormatUint(uint64(incarnation), 10)
}

// FormatRemaining returns the time until a deadline as the value of HeaderRemaining and
// HeaderTimeout: whole milliseconds, rounded down, at least 0.
func FormatRemaining(deadline time.Time) string {
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10)
}

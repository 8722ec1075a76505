//go:build !linux

package clock

import "time"

// sinceBoot: systems other than Linux have no such clock here; suspensions are not counted.
func sinceBoot() (time.Duration, bool) { return 0, false }

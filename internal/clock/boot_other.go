//go:build !linux

package clock

import "time"

// sinceBoot reports that there is no boot clock: suspensions are counted only on Linux.
func sinceBoot() (time.Duration, bool) { return 0, false }

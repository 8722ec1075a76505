package retryafter

import "time"

const (
	// maxLeftShare is the share of the caller's remaining time for which callers wait at most, whatever they
	// are told.
	maxLeftShare = 1.0 / 3
	// jitterShare is the share of the wait by which retries are delayed at random, so that callers that are
	// rejected together do not return together; waits that would exceed maxLeftShare are shortened at random
	// by up to capJitterShare.
	jitterShare, capJitterShare = 0.5, 0.25
)

// SpreadWait returns Wait with a random part, given a random number from 0 to 1, and at most a third of the
// caller's remaining time.
func (r Refusal) SpreadWait(random float64) time.Duration {
	wait := scale(r.Wait(), 1+jitterShare*random)
	if r.Left <= 0 {
		return wait
	}
	return min(wait, scale(r.Left, maxLeftShare*(1-capJitterShare*random)))
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}

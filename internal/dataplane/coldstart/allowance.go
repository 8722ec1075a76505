package coldstart

import "time"

const (
	// window is the time to which the bound on a cold instance applies.
	window = time.Second
	// checkRetryInterval is the time between a failed check and the next one.
	checkRetryInterval = 250 * time.Millisecond
	// answerTimeDivisor is the reciprocal of the weight of one measurement in the mean answer time.
	answerTimeDivisor = 8
	// initialAnswerTime is assumed as the answer time of checks before the first one. minAnswerTime bounds how
	// soon waiting requests look again.
	initialAnswerTime, minAnswerTime = 10 * time.Millisecond, time.Millisecond
)

// Allowance limits the requests to an instance that can turn cold at any moment, while its entry may say so late
// or never. From the last time at which the instance was known to be warm, no second has more requests than a
// cold instance may get. As it runs out, a health check asks the instance; if that is still warm, the requests
// that have started before the check was sent no longer count. An instance with fewer requests is never asked.
//
// The zero Allowance limits nothing. Allowance is not safe for concurrent use.
type Allowance struct {
	// starts is a ring of the last starts, as many as are allowed in a window; oldest is the index of the oldest.
	starts []time.Time
	oldest int
	// warmAt is when the instance was last known to be warm.
	warmAt time.Time
	// sentAt is when the check was sent that is not answered yet; zero: there is none. No check is sent before
	// retryAt, after one has failed, and before coldUntil, as the instance is known to be cold.
	sentAt, retryAt, coldUntil time.Time
	// answerTime is the mean time until a check is answered.
	answerTime time.Duration
}

// SetPerSecond sets how many requests a cold instance may get in any second; zero means no limit. What has
// started before is not known then, for example because another process of the node has sent it, and counts as
// a whole allowance.
func (a *Allowance) SetPerSecond(requests int, now time.Time) {
	if requests == len(a.starts) {
		return
	}
	a.starts, a.oldest, a.warmAt = make([]time.Time, requests), 0, time.Time{}
	for i := range a.starts {
		a.starts[i] = now.Add(-1) // before a check that is sent now
	}
}

// Start counts a request that starts now.
func (a *Allowance) Start(now time.Time) {
	if len(a.starts) == 0 {
		return
	}
	a.starts[a.oldest] = now
	a.oldest = (a.oldest + 1) % len(a.starts)
}

// Delay returns the time until a request may start that is preceded by the given number of others.
func (a *Allowance) Delay(before int, now time.Time) time.Duration {
	if len(a.starts) == 0 {
		return 0
	}
	counted := a.counted(now)
	missing := before - (len(a.starts) - counted)
	if missing < 0 {
		return 0
	}
	periods := time.Duration(1 + missing/len(a.starts))
	if !a.sentAt.IsZero() || a.mayCheck(now) {
		return a.answerWait(now) * periods
	}
	if missing >= counted { // it waits for requests that have not started yet
		return window * periods
	}
	oldestCounted := a.oldest + len(a.starts) - counted
	blocking := a.starts[(oldestCounted+missing)%len(a.starts)]
	return blocking.Add(window).Sub(now)
}

// counted returns how many starts count: those within a window that the instance may have been cold for.
func (a *Allowance) counted(now time.Time) (count int) {
	for _, start := range a.starts {
		if !start.Before(a.warmAt) && now.Sub(start) < window {
			count++
		}
	}
	return count
}

// TakeCheck reports whether a check is to be sent now. The caller must report its end.
func (a *Allowance) TakeCheck(now time.Time) bool {
	if len(a.starts) == 0 || !a.mayCheck(now) || len(a.starts)-a.counted(now) > a.reserve(now) {
		return false
	}
	return a.TakeExtraCheck(now)
}

// TakeExtraCheck reports whether a check can be sent now for another reason than the allowance. The caller must
// report its end.
func (a *Allowance) TakeExtraCheck(now time.Time) bool {
	if len(a.starts) == 0 || !a.sentAt.IsZero() {
		return false
	}
	a.sentAt = now
	return true
}

// reserve returns the number of requests that are expected to start until a check that is sent now is answered,
// and one more.
func (a *Allowance) reserve(now time.Time) int {
	elapsed := max(now.Sub(a.starts[a.oldest]), 1)
	return 1 + int(float64(len(a.starts))*float64(a.answerWait(now))/float64(elapsed))
}

func (a *Allowance) mayCheck(now time.Time) bool {
	return !now.Before(a.retryAt) && !now.Before(a.coldUntil)
}

// answerWait returns how long the answer to the check that was sent, or would be sent now, is expected to take. An
// overdue one is expected to take as long again.
func (a *Allowance) answerWait(now time.Time) time.Duration {
	wait := max(a.expectedAnswerTime(), minAnswerTime)
	if a.sentAt.IsZero() {
		return wait
	}
	return max(wait, now.Sub(a.sentAt))
}

// SetCold sets until when the instance is known to be cold: no check would tell more. Zero: it counts as warm.
func (a *Allowance) SetCold(until time.Time) { a.coldUntil = until }

// CheckAnswered ends a check whose answer says whether the instance is warm.
func (a *Allowance) CheckAnswered(warm bool, now time.Time) {
	a.answerTime = a.expectedAnswerTime()
	a.answerTime += (now.Sub(a.sentAt) - a.answerTime) / answerTimeDivisor
	if warm {
		a.warmAt = a.sentAt
	}
	a.sentAt = time.Time{}
}

// CheckFailed ends a check without an answer.
func (a *Allowance) CheckFailed(now time.Time) {
	a.sentAt, a.retryAt = time.Time{}, now.Add(checkRetryInterval)
}

func (a *Allowance) expectedAnswerTime() time.Duration {
	if a.answerTime == 0 {
		return initialAnswerTime
	}
	return a.answerTime
}

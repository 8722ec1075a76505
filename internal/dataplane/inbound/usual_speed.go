package inbound

import "time"

// maxPercentRatio is the ratio of the slowdowns stated before and after a request beyond which the slowdown
// changed while it ran: its processing time then tells nothing about the usual speed.
const maxPercentRatio = 1.25

// usualSpeed estimates the ratio of the instance's processing times to ordinary ones while its slowdown
// is 100 percent. Unlike speedEstimate, it does not change while the instance is slow for a moment.
type usualSpeed struct{ estimate speedEstimate }

// record records a request with the slowdowns in percent that the instance stated before it and with its
// answer; zero: not known.
func (s *usualSpeed) record(execution, ordinary time.Duration, percentAtStart, percentAtAnswer int) {
	if percentAtAnswer == 0 {
		return
	}
	if percentAtStart == 0 {
		percentAtStart = percentAtAnswer
	}
	if float64(max(percentAtStart, percentAtAnswer)) > maxPercentRatio*float64(min(percentAtStart, percentAtAnswer)) {
		return
	}
	s.estimate.record(2*100*execution/time.Duration(percentAtStart+percentAtAnswer), ordinary)
}

// percent returns the estimate in percent, zero if it is not known yet.
func (s *usualSpeed) percent() int { return s.estimate.hundredths() }

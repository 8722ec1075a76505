package inbound

import (
	"sync"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// runs counts what the instance works on, and how much of it are repeats: calls that
// the instance makes meanwhile are made by one of these.
type runs struct {
	mutex   sync.Mutex
	running int
	// repeats adds up the probabilities of being a repeat, in hundredths.
	repeats int
}

// run is one request that the instance works on.
type run struct {
	runs   *runs
	once   sync.Once
	repeat int
}

// begin notes a request that goes to the instance, and the probability that it is a
// repeat, in hundredths.
func (r *runs) begin(repeat int) *run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running++
	r.repeats += repeat
	return &run{runs: r, repeat: repeat}
}

// end notes that the instance has ended with it.
func (r *run) end() {
	r.once.Do(func() {
		r.runs.mutex.Lock()
		defer r.runs.mutex.Unlock()
		r.runs.running--
		r.runs.repeats -= r.repeat
	})
}

// repeatShare is the share of repeats among what the instance works on, from 0 to 1.
func (r *runs) repeatShare() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.running == 0 {
		return 0
	}
	return float64(r.repeats) / float64(r.running) / hop.Certain
}

// RepeatShare is the share of repeats among what the instance works on, from 0 to 1:
// the probability that a call which it makes now is one of a repeated run.
func (p *Proxy) RepeatShare() float64 { return p.runs.repeatShare() }

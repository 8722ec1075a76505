package storesoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

const (
	// slowPeriod is how long an instance is slow at a time, slowShare the share of instances that are,
	// and slowPercent how long their work then takes.
	slowPeriod              = 600 * time.Millisecond
	slowShare               = 0.15
	slowPercent, perHundred = 250, 100
)

// isSlow reports whether an instance takes longer at a time.
func (h *heavyLoad) isSlow(machine int, now time.Time) bool {
	period := uint64(now.Sub(h.began) / slowPeriod)
	random := rand.New(rand.NewPCG(h.seed^uint64(machine)<<32, period))
	return random.Float64() < slowShare
}

// workPercent returns how long work takes at a time in percent of the usual time.
func (h *heavyLoad) workPercent(machine int, now time.Time) int {
	if h.isSlow(machine, now) {
		return slowPercent
	}
	return perHundred
}

// attach lets an instance state its load in its answers, answer calls of routePack with large
// bodies, and returns the work of its requests, which takes as long as the routes and the instance's
// slow periods say.
func (h *heavyLoad) attach(emulated *instance.Instance, m *machine, work func(string, <-chan struct{})) func(string, <-chan struct{}) {
	if h == nil {
		return work
	}
	emulated.BodyOf = bodyOf
	emulated.Load = func(running int) string {
		return h.statedLoad(running, h.slots(m.service), h.workPercent(m.number, time.Now()))
	}
	return func(id string, gone <-chan struct{}) {
		began := time.Now()
		percent := h.workPercent(m.number, began)
		workAsRouted(id, gone, work)
		waitUnlessGone(time.Since(began)*time.Duration(percent-perHundred)/perHundred, gone)
	}
}

// statedLoad returns the figures of load: running, waiting, slots, and how long work takes in percent.
func (h *heavyLoad) statedLoad(inProgress, slots, percent int) string {
	running := min(inProgress, slots)
	return fmt.Sprintf("%d,%d,%d,%d", running, inProgress-running, slots, percent)
}

// workAsRouted takes as long as the call's route says, or as other calls do.
func workAsRouted(id string, gone <-chan struct{}, work func(string, <-chan struct{})) {
	for _, each := range heavyRoutes {
		if each.work > 0 && strings.HasPrefix(id, each.name+"-") {
			waitUnlessGone(each.work, gone)
			return
		}
	}
	work(id, gone)
}

// waitUnlessGone waits for a time, or until the sender disconnects.
func waitUnlessGone(duration time.Duration, gone <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
	}
}

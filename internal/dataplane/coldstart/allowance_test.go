package coldstart_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/coldstart"
)

// TestAllowanceWithoutLimit checks that an allowance that is not set limits nothing and asks nothing.
func TestAllowanceWithoutLimit(t *testing.T) {
	c := qt.New(t)
	var allowance coldstart.Allowance
	for range 1000 {
		c.Assert(allowance.Delay(5, epoch), qt.Equals, time.Duration(0))
		allowance.Start(epoch)
		c.Assert(allowance.TakeCheck(epoch), qt.IsFalse)
	}
}

// TestAllowanceOfANewProcess guards against a node that restarts and sends a whole allowance again within the
// second in which its former process has sent one.
func TestAllowanceOfANewProcess(t *testing.T) {
	c := qt.New(t)
	var allowance coldstart.Allowance
	allowance.SetPerSecond(14, epoch)
	c.Check(allowance.TakeCheck(epoch), qt.IsTrue)
	c.Check(allowance.Delay(0, epoch) > 0, qt.IsTrue)
	allowance.CheckFailed(epoch)
	c.Check(allowance.Delay(0, epoch.Add(500*time.Millisecond)) > 0, qt.IsTrue)
	c.Check(allowance.Delay(0, epoch.Add(time.Second)), qt.Equals, time.Duration(0))
}

// TestAllowanceWhileNoCheckIsAnswered guards against an instance that is starved, or flooded, because its health
// checks fail: it gets what a cold one may, and is asked again.
func TestAllowanceWhileNoCheckIsAnswered(t *testing.T) {
	c := qt.New(t)
	var allowance coldstart.Allowance
	allowance.SetPerSecond(14, epoch)
	started, checks := 0, 0
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if allowance.TakeCheck(now) {
			checks++
			allowance.CheckFailed(now)
		}
		if allowance.Delay(0, now) == 0 {
			allowance.Start(now)
			started++
		}
	}
	c.Check(started, qt.Equals, 9*14)
	c.Check(checks >= 9 && checks <= 40, qt.IsTrue, qt.Commentf("%d checks", checks))
}

// TestAllowanceDelay checks the time until requests may start that wait behind others, while checks fail and while
// one can be sent.
func TestAllowanceDelay(t *testing.T) {
	c := qt.New(t)
	var allowance coldstart.Allowance
	allowance.SetPerSecond(3, epoch)
	now := epoch.Add(10 * time.Second)
	c.Assert(allowance.TakeCheck(now), qt.IsFalse)
	c.Check(allowance.Delay(2, now), qt.Equals, time.Duration(0))
	c.Check(allowance.Delay(3, now) > 0 && allowance.Delay(3, now) < time.Second, qt.IsTrue) // a check comes first

	allowance.SetCold(now.Add(time.Hour))
	c.Check(allowance.Delay(2, now), qt.Equals, time.Duration(0))
	c.Check(allowance.Delay(3, now), qt.Equals, time.Second)
	allowance.Start(now)
	allowance.Start(now.Add(100 * time.Millisecond))
	now = now.Add(200 * time.Millisecond)
	c.Check(allowance.Delay(0, now), qt.Equals, time.Duration(0))
	c.Check(allowance.Delay(1, now), qt.Equals, 800*time.Millisecond)
	c.Check(allowance.Delay(2, now), qt.Equals, 900*time.Millisecond)
	c.Check(allowance.Delay(3, now), qt.Equals, time.Second)
}

// coldModel is an instance and its node in virtual time.
type coldModel struct {
	allowance coldstart.Allowance
	random    *rand.Rand
	now       time.Time
	// coldFrom and coldUntil are the current or next time for which the instance is cold.
	coldFrom, coldUntil time.Time
	// answerTime is the greatest time until a check is answered; answersAt is when the answer comes that says
	// warm, zero: no check is sent.
	answerTime time.Duration
	answersAt  time.Time
	warm       bool

	whileCold                     []time.Time
	most, started, delayed, asked int
}

// step lets a millisecond pass, in which a number of requests arrive.
func (m *coldModel) step(arrivals int) {
	m.now = m.now.Add(time.Millisecond)
	if !m.answersAt.IsZero() && !m.now.Before(m.answersAt) {
		m.allowance.CheckAnswered(m.warm, m.now)
		m.answersAt = time.Time{}
		if !m.warm {
			m.allowance.SetCold(m.coldUntil)
		}
	}
	for range arrivals {
		if m.allowance.Delay(0, m.now) > 0 {
			m.delayed++
		} else {
			m.allowance.Start(m.now)
			m.recordStart()
		}
		if m.allowance.TakeCheck(m.now) {
			m.asked++
			delay := time.Duration(m.random.Int64N(int64(m.answerTime)))
			answered := m.now.Add(delay / 2)
			m.answersAt, m.warm = m.now.Add(delay), answered.Before(m.coldFrom) || !answered.Before(m.coldUntil)
		}
	}
}

func (m *coldModel) recordStart() {
	m.started++
	if m.now.Before(m.coldFrom) || !m.now.Before(m.coldUntil) {
		return
	}
	m.whileCold = append(m.whileCold, m.now)
	for m.now.Sub(m.whileCold[0]) >= time.Second {
		m.whileCold = m.whileCold[1:]
	}
	m.most = max(m.most, len(m.whileCold))
}

// TestAllowanceKeepsTheBound guards against an instance that turns cold at any moment, any number of times, and
// gets more requests in some second than it may, at any load and with answers of any delay.
func TestAllowanceKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 40).Draw(t, "bound")
		load := rapid.Float64Range(0.1, 10).Draw(t, "requests for each allowed one")
		m := &coldModel{
			random: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))), now: epoch,
			answerTime: time.Duration(rapid.IntRange(2, 400).Draw(t, "answer time in ms")) * time.Millisecond,
		}
		m.allowance.SetPerSecond(bound, m.now)
		for range 10_000 {
			if !m.now.Before(m.coldUntil) {
				m.coldFrom = m.now.Add(time.Duration(m.random.Int64N(int64(3 * time.Second))))
				m.coldUntil, m.whileCold = m.coldFrom.Add(time.Duration(m.random.Int64N(int64(3*time.Second)))), nil
			}
			arrivals := 0
			for arrivals < bound && m.random.Float64() < load*float64(bound)/1000 {
				arrivals++
			}
			m.step(arrivals)
		}
		if m.most > bound {
			t.Fatalf("%d requests in a second, %d allowed", m.most, bound)
		}
	})
}

// TestAllowanceOfAWarmInstance checks what the checks cost an instance that stays warm: no request waits, and an
// instance is asked once for almost as many requests as a cold one may get, or never if it gets fewer.
func TestAllowanceOfAWarmInstance(t *testing.T) {
	const (
		bound    = 14
		duration = 60 * time.Second
	)
	for name, row := range map[string]struct {
		perSecond  float64
		mostAsked  float64 // for each request
		mostDelays float64 // of the requests
	}{
		"few":         {perSecond: 7, mostAsked: 0.02},
		"as many":     {perSecond: 14, mostAsked: 1.0 / 10},
		"more":        {perSecond: 25, mostAsked: 1.0 / 10},
		"many":        {perSecond: 60, mostAsked: 1.0 / 9, mostDelays: 0.01},
		"three times": {perSecond: 180, mostAsked: 1.0 / 8, mostDelays: 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := &coldModel{random: rand.New(rand.NewPCG(1, 2)), now: epoch.Add(2 * time.Second), answerTime: 4 * time.Millisecond}
			m.allowance.SetPerSecond(bound, epoch)
			for m.now.Before(epoch.Add(duration)) {
				arrivals := 0
				if m.random.Float64() < row.perSecond/1000 {
					arrivals = 1
				}
				m.step(arrivals)
			}
			c.Logf("%d started, %d delayed, %d checks, one for %.1f requests", m.started, m.delayed, m.asked, float64(m.started)/float64(max(m.asked, 1)))
			c.Check(float64(m.asked) <= row.mostAsked*float64(m.started), qt.IsTrue)
			c.Check(float64(m.delayed) <= row.mostDelays*float64(m.started), qt.IsTrue)
		})
	}
}

package inbound

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// The results of a check.
const (
	checkWarm   = "warm"
	checkCold   = "cold"
	checkFailed = "failed"
)

// startCheckIfDue asks the instance whether it is cold, if its requests need that. The caller must hold the mutex.
func (c *coldTracker) startCheckIfDue(now time.Time) {
	if c.allowance.TakeCheck(now) {
		c.startCheck(now)
	}
}

// startCheck sends a check that was taken from the allowance. The caller must hold the mutex.
func (c *coldTracker) startCheck(now time.Time) {
	if c.firstCheck == nil {
		c.firstCheck = make(chan struct{})
	}
	go c.check(c.healthPath, now)
}

// check asks the instance whether it is cold and applies the answer.
func (c *coldTracker) check(path string, sent time.Time) {
	stated, err := c.checker.check(context.Background(), path)
	c.applyCheck(stated, err, sent, time.Now())
	c.limitChanged()
}

func (c *coldTracker) applyCheck(stated health, err error, sent, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.logCheckFailing(err)
	switch {
	case err != nil:
		c.checks.WithLabelValues(checkFailed).Inc()
		c.allowance.CheckFailed(now)
	case stated.coldFor > 0:
		c.checks.WithLabelValues(checkCold).Inc()
		c.applyStated(stated, sent, now)
	default:
		c.checks.WithLabelValues(checkWarm).Inc()
		c.applyStated(stated, sent, now)
	}
	select {
	case <-c.firstCheck:
	default:
		close(c.firstCheck)
	}
}

// applyStated applies what the instance states in the answer to a check. What is known since the check was sent, or
// of another instance, holds beside it. The caller must hold the mutex.
func (c *coldTracker) applyStated(stated health, sent, now time.Time) {
	c.allowance.CheckAnswered(stated.coldFor == 0, now)
	before := c.phase.Until()
	isNewest := !sent.Before(c.phaseChangedAt) && (c.assumedInstance == "" || c.assumedInstance == stated.instance)
	if isNewest {
		c.phase.Stated(stated.coldFor, now)
	} else {
		c.phase.AssumeCold(stated.coldFor, now)
	}
	c.logChange(before, coldByHealth, stated.instance, snapshot.Version{}, now)
	service, _ := c.lastSnapshot.Service(c.service)
	c.limitCold(service, now)
}

// logCheckFailing logs when checks begin or cease to fail. The caller must hold the mutex.
func (c *coldTracker) logCheckFailing(err error) {
	if failing := err != nil; failing != c.checkFailing {
		c.checkFailing = failing
		entry := c.logger.WithField("service", c.service)
		if failing {
			entry.WithError(err).Warn("the instance does not answer whether it is cold: its requests are limited as if it may be")
		} else {
			entry.Info("the instance answers again whether it is cold")
		}
	}
}

// awaitFirstCheck waits for the answer to the first check of this process, which does not know how many requests
// an earlier one has sent.
func (c *coldTracker) awaitFirstCheck(ctx context.Context) {
	c.mutex.Lock()
	first := c.firstCheck
	c.mutex.Unlock()
	if first == nil {
		return
	}
	select {
	case <-first:
	case <-ctx.Done():
	}
}

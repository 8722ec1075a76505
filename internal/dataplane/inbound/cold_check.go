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
	if !c.allowance.TakeCheck(now) {
		return
	}
	if c.firstCheck == nil {
		c.firstCheck = make(chan struct{})
	}
	go c.check(c.healthPath)
}

// check asks the instance whether it is cold and applies the answer.
func (c *coldTracker) check(path string) {
	stated, err := c.checker.check(context.Background(), path)
	c.applyCheck(stated, err, time.Now())
	c.limitChanged()
}

func (c *coldTracker) applyCheck(stated health, err error, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.logCheckFailing(err)
	switch {
	case err != nil:
		c.checks.WithLabelValues(checkFailed).Inc()
		c.allowance.CheckFailed(now)
	case stated.coldFor > 0:
		c.checks.WithLabelValues(checkCold).Inc()
		c.allowance.CheckAnswered(false, now)
		before := c.phase.Until()
		c.phase.AssumeCold(stated.coldFor, now)
		c.logChange(before, coldByHealth, stated.instance, snapshot.Version{}, now)
		service, _ := c.lastSnapshot.Service(c.service)
		c.limitCold(service, now)
	default:
		c.checks.WithLabelValues(checkWarm).Inc()
		c.allowance.CheckAnswered(true, now)
	}
	select {
	case <-c.firstCheck:
	default:
		close(c.firstCheck)
	}
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

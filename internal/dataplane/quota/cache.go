package quota

import "time"

// tokenCache holds the tokens of one tenant that this node was granted.
type tokenCache struct {
	tokens    int
	expiresAt time.Time
	// asking is closed when the running request for tokens ends; nil if there is none.
	asking  chan struct{}
	waiting int
	// pausedUntil is until when no tokens are asked for, after pausedBy had none.
	pausedUntil time.Time
	pausedBy    Source
	retryAfter  time.Duration
	// arrivals is the number of requests since countedSince; rate is that of the second before.
	arrivals     int
	countedSince time.Time
	rate         float64
	usedAt       time.Time
	// admitted and refused count the decisions; decidedBy is where the last one came from.
	admitted, refused decayingCount
	decidedBy         Source
	decidedAt         time.Time
}

// decided notes a decision on a request.
func (c *tokenCache) decided(decision Decision, now time.Time) Decision {
	if decision.Admitted {
		c.admitted.add(now)
	} else {
		c.refused.add(now)
	}
	c.decidedBy, c.decidedAt = decision.Source, now
	return decision
}

// take removes one token that has not expired.
func (c *tokenCache) take(now time.Time) bool {
	if c.tokens == 0 || now.After(c.expiresAt) {
		c.tokens = 0
		return false
	}
	c.tokens--
	return true
}

// countArrival updates the rate of requests.
func (c *tokenCache) countArrival(now time.Time) {
	c.usedAt = now
	if elapsed := now.Sub(c.countedSince); elapsed >= time.Second {
		c.rate = float64(c.arrivals) / elapsed.Seconds()
		c.arrivals, c.countedSince = 0, now
	}
	c.arrivals++
}

// wanted returns the number of tokens to ask for.
func (c *tokenCache) wanted() int {
	return min(1+c.waiting+int(c.rate*prefetch.Seconds()), maxWanted)
}

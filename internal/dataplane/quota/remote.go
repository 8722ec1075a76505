package quota

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// errNotRanked is returned by a node that grants no tokens of the tenant.
var errNotRanked = errors.New("the node does not grant tokens of this tenant")

func (l *Limiter) requestFrom(ctx context.Context, node, tenant string, wanted int) (Grant, error) {
	body, err := tokenRequest{Tenant: tenant, Wanted: wanted}.encode()
	if err != nil {
		return Grant{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := l.transport(ctx, node, body)
	if err != nil {
		return Grant{}, err
	}
	decoded, err := decodeResponse(answer)
	switch {
	case err != nil:
		return Grant{}, err
	case !decoded.Ranked:
		return Grant{}, errNotRanked
	default:
		return decoded.grant(), nil
	}
}

func (l *Limiter) isAvoided(node string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Before(l.avoided[node])
}

// avoid notes a node that did not answer, and forgets those that may be asked again. It logs one line
// for each time in which the node is not asked.
func (l *Limiter) avoid(node string, cause error) {
	l.options.Logger.WithError(cause).WithFields(logrus.Fields{"node": node, "for_ms": avoidFor.Milliseconds()}).
		Warn("a node grants no tokens: others are asked")
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	for other, until := range l.avoided {
		if now.After(until) {
			delete(l.avoided, other)
		}
	}
	l.avoided[node] = now.Add(avoidFor)
}

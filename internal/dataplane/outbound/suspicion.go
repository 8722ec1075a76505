package outbound

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// suspicion is what one exchange knows about whether its request crashes instances.
type suspicion struct {
	// fingerprint is computed only once any request is suspected.
	fingerprint    suspects.Fingerprint
	hasFingerprint bool
	standing       suspects.Standing
	// until is when a quarantined request may be sent again.
	until time.Time
	// crashObserved is set when an instance crashed during a send of this exchange. The records
	// of that from other nodes may not have arrived yet.
	crashObserved bool
}

// assess returns the current status of the request.
func (e *exchange) assess() suspects.Standing {
	s := &e.suspicion
	s.standing = suspects.Clear
	if tracker := e.proxy.options.Suspects; !tracker.IsEmpty() {
		assessment := tracker.Assess(e.fingerprint())
		s.standing, s.until = assessment.Standing, assessment.Until
	}
	if s.standing == suspects.Clear && s.crashObserved {
		s.standing = suspects.Suspected
	}
	return s.standing
}

func (e *exchange) fingerprint() suspects.Fingerprint {
	s := &e.suspicion
	if !s.hasFingerprint {
		s.fingerprint = suspects.NewFingerprint(e.request.Method, e.request.Host, e.request.Target, e.request.Body)
		s.hasFingerprint = true
	}
	return s.fingerprint
}

// candidates returns the instances that may be chosen. For a suspected request it is a single
// one that all nodes choose alike, so that it is tried at one instance at a time in the whole
// fleet.
func (e *exchange) candidates() []snapshot.Instance {
	all := e.instances()
	if e.suspicion.standing != suspects.Suspected {
		return all
	}
	best, highest := -1, uint64(0)
	for i := range all {
		if all[i].State != snapshot.InstanceReady || e.tried[all[i].Name] {
			continue
		}
		if weight := probeWeight(e.fingerprint(), all[i].Address); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	if best < 0 {
		return nil
	}
	return all[best : best+1]
}

// probeWeight ranks the instances for the probe of a request (rendezvous hashing).
func probeWeight(fingerprint suspects.Fingerprint, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address))
	sum := hash.Sum64() ^ binary.BigEndian.Uint64(fingerprint[:])
	sum *= 0x9e3779b97f4a7c15 // spreads differences in few bits over all bits
	return sum ^ sum>>32
}

// mustNotTryElsewhere reports whether a suspected request that was refused must not be offered
// to another instance: two nodes would then probe it at two instances at the same time.
func (e *exchange) mustNotTryElsewhere(reason hop.Reason) bool {
	switch reason {
	case hop.ReasonProbe:
		return true
	case hop.ReasonOverloaded, hop.ReasonCold, hop.ReasonLimited, hop.ReasonLink:
		return e.suspicion.standing == suspects.Suspected
	default:
		return false
	}
}

// refuseQuarantined returns the final answer to a request that crashes instances. If it has not
// run, the answer says when to retry: not before the next probe is due.
func (e *exchange) refuseQuarantined() *message.Response {
	e.lastReason = hop.ReasonCrashesInstances
	if e.possibleRuns > 0 || e.callerGone() {
		return e.refuse()
	}
	e.finish(outcomeQuarantined, http.StatusServiceUnavailable)
	answer := e.proxy.errorAnswer(e.request, http.StatusServiceUnavailable, "not run: it crashes the instances that run it", 0)
	wait := max(math.Ceil(clock.Until(e.suspicion.until).Seconds()), 1)
	answer.Header[headerRetryAfter] = []string{strconv.FormatFloat(wait, 'f', 0, 64)}
	return answer
}

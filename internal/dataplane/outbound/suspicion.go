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

// suspicion is what one exchange knows of the content of its request.
type suspicion struct {
	// content is worked out once something stands against any request.
	content  suspects.Fingerprint
	known    bool
	standing suspects.Standing
	// until is when a quarantined one may be sent again.
	until time.Time
	// told is set when a send of this exchange met the crash of its instance: other nodes'
	// records of that may still be on their way.
	told bool
}

// assessContent returns the standing of the request as it is now.
func (e *exchange) assessContent() suspects.Standing {
	s := &e.suspicion
	s.standing = suspects.Clear
	if ledger := e.proxy.options.Suspects; !ledger.IsEmpty() {
		assessment := ledger.Assess(e.content())
		s.standing, s.until = assessment.Standing, assessment.Until
	}
	if s.standing == suspects.Clear && s.told {
		s.standing = suspects.Suspected
	}
	return s.standing
}

func (e *exchange) content() suspects.Fingerprint {
	s := &e.suspicion
	if !s.known {
		s.content = suspects.Of(e.request.Method, e.request.Host, e.request.Target, e.request.Body)
		s.known = true
	}
	return s.content
}

// candidates are the instances that may be chosen. A suspected request goes to one that all
// nodes choose alike, so that it is tried at one instance at a time in the whole fleet.
func (e *exchange) candidates() []snapshot.Instance {
	all := e.current.Instances(e.service)
	if e.suspicion.standing != suspects.Suspected {
		return all
	}
	best, highest := -1, uint64(0)
	for i := range all {
		if all[i].State != snapshot.InstanceReady || e.tried[all[i].Name] {
			continue
		}
		if weight := probeWeight(e.content(), all[i].Address); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	if best < 0 {
		return nil
	}
	return all[best : best+1]
}

// probeWeight ranks the instances for the probe of a content (rendezvous hashing).
func probeWeight(content suspects.Fingerprint, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address))
	sum := hash.Sum64() ^ binary.BigEndian.Uint64(content[:])
	sum *= 0x9e3779b97f4a7c15 // spreads differences in few bits over all of them
	return sum ^ sum>>32
}

// staysOnProbe reports whether a suspected request that was refused must not be offered to
// another instance: two nodes would then try it at two instances at the same time.
func (e *exchange) staysOnProbe(reason hop.Reason) bool {
	switch reason {
	case hop.ReasonProbe:
		return true
	case hop.ReasonOverloaded, hop.ReasonCold, hop.ReasonLink:
		return e.suspicion.standing == suspects.Suspected
	default:
		return false
	}
}

// refuseQuarantined is the final answer to a request that crashes instances. If this attempt has
// not run, it says when it may be tried again: not before the doubt is looked at once more.
func (e *exchange) refuseQuarantined() *message.Answer {
	e.reason = hop.ReasonCrashesInstances
	if e.reached > 0 || e.callerGone() {
		return e.refuse()
	}
	e.finish(outcomeShutOut, http.StatusServiceUnavailable)
	answer := e.proxy.problem(e.request, http.StatusServiceUnavailable, "not run: it crashes the instances that run it", 0)
	wait := max(math.Ceil(clock.Until(e.suspicion.until).Seconds()), 1)
	answer.Header[headerRetryAfter] = []string{strconv.FormatFloat(wait, 'f', 0, 64)}
	return answer
}

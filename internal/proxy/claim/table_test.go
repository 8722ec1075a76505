package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

var startTime = time.Unix(1_000_000, 0)

// newRequest returns a request of a holder about a key, both given by small numbers.
func newRequest(action wire.ClaimAction, key, holder byte) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Action: action, Key: wire.ClaimKey{key}, Holder: wire.ClaimHolder{Node: "n", Number: uint64(holder)},
		RemainingMillis: time.Second.Milliseconds(), GrantMillis: time.Minute.Milliseconds(),
	}
}

func TestTable(t *testing.T) {
	const claim, release, query = wire.ClaimActionClaim, wire.ClaimActionRelease, wire.ClaimActionQuery
	other := newRequest(claim, 1, 2)
	other.Fingerprint = wire.ClaimFingerprint{9}
	for _, test := range []struct {
		name    string
		before  []*wire.ClaimRequest
		after   time.Duration
		request *wire.ClaimRequest
		verdict wire.ClaimVerdict
		running bool
	}{
		{"new key", nil, 0, newRequest(claim, 1, 1), wire.ClaimGranted, false},
		{"same holder again", []*wire.ClaimRequest{newRequest(claim, 1, 1)}, 0, newRequest(claim, 1, 1), wire.ClaimGranted, false},
		{"taken, may still run", []*wire.ClaimRequest{newRequest(claim, 1, 1)}, time.Second - 1, newRequest(claim, 1, 2), wire.ClaimTaken, true},
		{"taken, deadline passed", []*wire.ClaimRequest{newRequest(claim, 1, 1)}, time.Second, newRequest(claim, 1, 2), wire.ClaimTaken, false},
		{"taken by another request", []*wire.ClaimRequest{newRequest(claim, 1, 1)}, time.Second, other, wire.ClaimConflict, false},
		{"remembered until the hold ends", []*wire.ClaimRequest{newRequest(claim, 1, 1)}, time.Minute - 1, newRequest(claim, 1, 2), wire.ClaimTaken, false},
		{"hold expired", []*wire.ClaimRequest{newRequest(claim, 1, 1)}, time.Minute, newRequest(claim, 1, 2), wire.ClaimGranted, false},
		{"released", []*wire.ClaimRequest{newRequest(claim, 1, 1), newRequest(release, 1, 1)}, 0, newRequest(claim, 1, 2), wire.ClaimGranted, false},
		{"released by another", []*wire.ClaimRequest{newRequest(claim, 1, 1), newRequest(release, 1, 2)}, time.Second, newRequest(claim, 1, 2), wire.ClaimTaken, false},
		{"claim after its release", []*wire.ClaimRequest{newRequest(release, 1, 1)}, 0, newRequest(claim, 1, 1), wire.ClaimReleased, false},
		{"full", []*wire.ClaimRequest{newRequest(claim, 1, 1), newRequest(claim, 2, 1)}, 0, newRequest(claim, 3, 1), wire.ClaimFull, false},
		{"full, own key", []*wire.ClaimRequest{newRequest(claim, 1, 1), newRequest(claim, 2, 1)}, 0, newRequest(claim, 1, 1), wire.ClaimGranted, false},
		{"full until a hold expires", []*wire.ClaimRequest{newRequest(claim, 1, 1), newRequest(claim, 2, 1)}, time.Minute, newRequest(claim, 3, 1), wire.ClaimGranted, false},
		{"query of a taken key", []*wire.ClaimRequest{newRequest(claim, 1, 1)}, time.Second, newRequest(query, 1, 2), wire.ClaimTaken, false},
		{"query of a released key", []*wire.ClaimRequest{newRequest(claim, 1, 1), newRequest(release, 1, 1)}, 0, newRequest(query, 1, 2), wire.ClaimFree, false},
		{"query of an unknown key", nil, 0, newRequest(query, 1, 2), wire.ClaimFree, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table := newTable(2)
			for _, request := range test.before {
				table.handle(request, startTime)
			}
			reply := table.handle(test.request, startTime.Add(test.after))
			c.Check(reply.Verdict, qt.Equals, test.verdict)
			c.Check(reply.Running, qt.Equals, test.running)
			if reply.Verdict == wire.ClaimTaken {
				c.Check(reply.Holder.Number, qt.Equals, uint64(1))
			}
			c.Check(table.byExpiry, qt.HasLen, len(table.grants))
		})
	}
}

func TestReplicaSets(t *testing.T) {
	member := func(node string, incarnation uint64) membership.Member {
		return membership.Member{Suspected: node == "b", Record: membership.Record{Node: membership.NodeID(node),
			Incarnation: membership.Incarnation(incarnation), State: membership.StateDraining, PeerAddress: node + ":1"}}
	}
	for _, test := range []struct {
		name             string
		known, listed    string // one letter per node
		replicas, needed int
	}{
		{"large fleet", "abcdefgh", "", 5, 4},
		{"five", "abcde", "", 5, 4},
		{"four", "abcd", "", 4, 3},
		{"three", "abc", "", 3, 2},
		{"two", "ab", "", 2, 2},
		{"single node", "a", "", 1, 1},
		{"just started, knows only the platform's list", "a", "bcde", 1, 4},
		{"list with a node that is gone", "abcd", "e", 4, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var members []membership.Member
			for _, node := range test.known {
				members = append(members, member(string(node), 1))
			}
			for _, node := range test.listed {
				members = append(members, member(string(node), 0))
			}
			set := replicasOf(wire.ClaimKey{1}, membership.NewView(members), 5)
			c.Check(set.replicas, qt.HasLen, test.replicas)
			c.Check(set.needed, qt.Equals, test.needed)
			for _, one := range set.replicas { // removing a member replaces at most one replica
				rest := membership.NewView(members[1:])
				if one.node != members[0].Record.Node && test.listed == "" {
					c.Check(replicasOf(wire.ClaimKey{1}, rest, 5).replicas, qt.Contains, one)
				}
			}
		})
	}
}

// simulation runs several claims of one key over a network that loses and reorders
// messages.
type simulation struct {
	tables   []*table
	tallies  []*tally
	settled  []bool // the claim is decided; a lost one is released
	replied  map[message]bool
	inFlight []message
	running  int // holder that won and did not release; -1: none
	restarts int
}

// message is a request of a holder to a replica that is in flight, or its reply.
type message struct {
	replica, holder int
	action          wire.ClaimAction
	reply           wire.ClaimVerdict // 0: this is a request
}

const simulatedReplicas, maxRestarts, maxHolders, simulatedSteps = 5, 2, 5, 150

// TestAtMostOneHolderRuns simulates claims with message loss, reordering, duplicate
// requests and up to two replicas that restart without their state.
func TestAtMostOneHolderRuns(t *testing.T) {
	wins, losses := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := &simulation{running: -1, replied: map[message]bool{}}
		for range simulatedReplicas {
			r.tables = append(r.tables, newTable(10))
		}
		for range simulatedSteps {
			r.step(t, rapid.IntRange(0, 39).Draw(t, "step"))
		}
		for _, one := range r.tallies {
			if one.result() == won {
				wins++
			} else {
				losses++
			}
		}
	})
	qt.Check(t, wins > 0 && losses > 0, qt.IsTrue, qt.Commentf("%d wins, %d losses", wins, losses))
}

// step executes one random action; most deliver a message.
func (r *simulation) step(t *rapid.T, number int) {
	switch number {
	case 0, 1, 2:
		r.claim()
	case 3:
		r.deliverOrDrop(t, false)
	case 4:
		if r.restarts < maxRestarts {
			r.restarts++
			r.tables[rapid.IntRange(0, simulatedReplicas-1).Draw(t, "replica")] = newTable(10)
		}
	case 5:
		if len(r.tallies) == 0 {
			return
		}
		holder := rapid.IntRange(0, len(r.tallies)-1).Draw(t, "holder")
		if !r.settled[holder] {
			r.tallies[holder].awaited = 0 // the claim timed out
			r.settle(t, holder)
		}
	case 6:
		if r.running >= 0 && rapid.Bool().Draw(t, "not run") {
			r.send(r.running, wire.ClaimActionRelease)
			r.running = -1
		}
	default:
		r.deliverOrDrop(t, true)
	}
}

func (r *simulation) claim() {
	if len(r.tallies) == maxHolders {
		return
	}
	r.tallies = append(r.tallies, newTally(replicaSet{replicas: make([]address, simulatedReplicas), needed: quorumSize(simulatedReplicas)}))
	r.settled = append(r.settled, false)
	r.send(len(r.tallies)-1, wire.ClaimActionClaim)
}

func (r *simulation) send(holder int, action wire.ClaimAction) {
	for replica := range simulatedReplicas {
		r.inFlight = append(r.inFlight, message{replica: replica, holder: holder, action: action})
	}
}

// deliverOrDrop takes a random message in flight and delivers or drops it. A delivered
// request may stay in flight, as if it had been sent twice.
func (r *simulation) deliverOrDrop(t *rapid.T, deliver bool) {
	if len(r.inFlight) == 0 {
		return
	}
	index := rapid.IntRange(0, len(r.inFlight)-1).Draw(t, "message")
	taken := r.inFlight[index]
	if taken.reply != 0 || !deliver || rapid.IntRange(0, 4).Draw(t, "again") != 0 {
		r.inFlight = append(r.inFlight[:index], r.inFlight[index+1:]...)
	}
	switch {
	case !deliver:
	case taken.reply == 0:
		reply := r.tables[taken.replica].handle(newRequest(taken.action, 1, byte(taken.holder)), startTime)
		taken.reply = reply.Verdict
		if taken.action == wire.ClaimActionClaim {
			r.inFlight = append(r.inFlight, taken)
		}
	case !r.settled[taken.holder] && !r.replied[message{replica: taken.replica, holder: taken.holder}]:
		r.replied[message{replica: taken.replica, holder: taken.holder}] = true
		r.tallies[taken.holder].recordReply(address{}, &wire.ClaimReply{Verdict: taken.reply})
		r.settle(t, taken.holder)
	}
}

// settle ends a claim once it is decided.
func (r *simulation) settle(t *rapid.T, holder int) {
	switch r.tallies[holder].result() {
	case pending:
		return
	case won:
		if r.running >= 0 {
			t.Fatalf("%d won while %d runs", holder, r.running)
		}
		r.running = holder
	default:
		r.send(holder, wire.ClaimActionRelease)
	}
	r.settled[holder] = true
}

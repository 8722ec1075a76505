package distribution_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// nextProtocol simulates the engine of a build with the next protocol version. It differs only in
// the version number of its Hello.
type nextProtocol struct{ engine *distribution.Engine }

// NextWake implements simulation.Participant.
func (n nextProtocol) NextWake() time.Time { return n.engine.NextWake() }

// Handle implements simulation.Participant.
func (n nextProtocol) Handle(now time.Time, event distribution.Event) []distribution.Action {
	actions := n.engine.Handle(now, n.received(event))
	for i, action := range actions {
		if send, ok := action.(distribution.Send); ok && send.Type == wire.TypeHello {
			send.Frame = withChangedHello(send.Frame, func(hello *wire.Hello) { hello.Protocol++ })
			actions[i] = send
		}
	}
	return actions
}

// received lowers the protocol version in a received Hello, so that the engine sees its own
// version in the Hello of a peer of the same build.
func (n nextProtocol) received(event distribution.Event) distribution.Event {
	switch event := event.(type) {
	case distribution.Accepted:
		event.Hello = withLowerProtocol(event.Hello)
		return event
	case distribution.Message:
		if hello, ok := event.Message.(*wire.Hello); ok {
			event.Message = withLowerProtocol(hello)
		}
		return event
	default:
		return event
	}
}

func withLowerProtocol(hello *wire.Hello) *wire.Hello {
	copied := *hello
	copied.Protocol--
	return &copied
}

// withChangedHello decodes the Hello in a frame, applies change to it and returns it encoded.
func withChangedHello(frame []byte, change func(hello *wire.Hello)) []byte {
	message, _, err := wire.NewReader(bytes.NewReader(frame), wire.Limits{}).Next()
	if err != nil {
		panic(err) // the engine encoded it
	}
	hello := message.(*wire.Hello)
	change(hello)
	encoded, err := wire.Encode(hello)
	if err != nil {
		panic(err) // it had an encoding before
	}
	return encoded
}

// TestFleetWithTwoProtocolVersions: during a rollout, nodes of two protocol versions do not link with
// each other. A node must not count nodes of the other version as readers, because they deliver
// nothing to it. Whichever nodes are killed, all nodes must hold the newest version soon after,
// and receive further changes.
func TestFleetWithTwoProtocolVersions(t *testing.T) {
	const (
		nodes, zones = 12, 3
		within       = 5 * time.Second
		seeds        = 12
	)
	for name, killed := range map[string]func(i int) bool{
		"one node":             func(i int) bool { return i == 2 },
		"all of one version":   func(i int) bool { return i%2 == 0 },
		"all of one zone":      func(i int) bool { return i%zones == 0 },
		"all but one per zone": func(i int) bool { return i >= zones },
		"all":                  func(int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(seeds) {
				f := simulation.New(simulation.Options{
					Seed: seed, Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1, SourceIsCurrent: true,
					Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond,
				})
				f.Platform.Publish(document(1), "")
				for i := range nodes {
					var wrap func(*distribution.Engine) simulation.Participant
					if i%2 == 1 {
						wrap = func(engine *distribution.Engine) simulation.Participant { return nextProtocol{engine} }
					}
					f.Start(simulation.Machine{Name: membership.NodeID(fmt.Sprintf("node-%d-%02d", seed, i)), Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r"}, wrap)
				}
				allHold := func() bool { return f.AllHold(f.Platform.Current()) }
				c.Assert(f.RunUntil(within, allHold), qt.IsTrue, qt.Commentf("seed %d: the start", seed))
				f.Run(10 * time.Second)
				for i, node := range f.Machines() {
					if killed(i) {
						f.Kill(node)
					}
				}
				f.Run(time.Second)
				for i, node := range f.Machines() {
					if killed(i) {
						f.Restart(node)
					}
				}
				c.Check(f.RunUntil(within, allHold), qt.IsTrue, qt.Commentf("seed %d: the restart", seed))
				f.Platform.Publish(document(2), "")
				c.Check(f.RunUntil(within, allHold), qt.IsTrue, qt.Commentf("seed %d: a change", seed))
				c.Check(f.Violations(), qt.HasLen, 0)
			}
		})
	}
}

// buildWithoutFleetChanges simulates the engine of a build that does not know fleet changes ahead of
// documents: its Hello does not offer to accept them, and receiving one is a protocol violation,
// counted in violations.
type buildWithoutFleetChanges struct {
	engine     *distribution.Engine
	violations *int
}

// NextWake implements simulation.Participant.
func (b buildWithoutFleetChanges) NextWake() time.Time { return b.engine.NextWake() }

// Handle implements simulation.Participant.
func (b buildWithoutFleetChanges) Handle(now time.Time, event distribution.Event) []distribution.Action {
	if message, ok := event.(distribution.Message); ok && message.Message.Type() == wire.TypeFleetChanges {
		*b.violations++
	}
	var kept []distribution.Action
	for _, action := range b.engine.Handle(now, event) {
		send, ok := action.(distribution.Send)
		switch {
		case ok && send.Type == wire.TypeFleetChanges:
			continue
		case ok && send.Type == wire.TypeHello:
			send.Frame = withChangedHello(send.Frame, func(hello *wire.Hello) {
				if hello.Purpose.AcceptsChanges() {
					hello.Purpose = wire.PurposeLink
				}
			})
			action = send
		}
		kept = append(kept, action)
	}
	return kept
}

// TestRolloutFromBuildWithoutFleetChanges: nodes of a build that does not know fleet changes stay in
// the fleet and are sent none. Documents reach all nodes, fleet changes those that accept them.
func TestRolloutFromBuildWithoutFleetChanges(t *testing.T) {
	const (
		nodes, zones = 12, 3
		within       = 5 * time.Second
	)
	c := qt.New(t)
	violations := 0
	f := simulation.New(simulation.Options{
		Seed: 1, Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1, SourceIsCurrent: true,
		Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond,
	})
	f.Platform.Publish(document(1), "")
	for i := range nodes {
		var wrap func(*distribution.Engine) simulation.Participant
		if i%2 == 1 {
			wrap = func(engine *distribution.Engine) simulation.Participant {
				return buildWithoutFleetChanges{engine, &violations}
			}
		}
		f.Start(simulation.Machine{Name: membership.NodeID(fmt.Sprintf("node-%02d", i)), Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r"}, wrap)
	}
	allHold := func() bool { return f.AllHold(f.Platform.Current()) }
	c.Assert(f.RunUntil(within, allHold), qt.IsTrue)
	f.Run(10 * time.Second)
	f.ReadChanges(f.Machines()[0], drainingChange(1000, "i"))
	f.Run(time.Second)
	for i, node := range f.Machines() {
		c.Check(f.KnowsChange(node, drainingChange(1000, "i")), qt.Equals, i%2 == 0, qt.Commentf("%s", node))
	}
	f.Platform.Publish(document(2), "")
	c.Check(f.RunUntil(within, allHold), qt.IsTrue)
	c.Check(violations, qt.Equals, 0)
	c.Check(f.Violations(), qt.HasLen, 0)
}

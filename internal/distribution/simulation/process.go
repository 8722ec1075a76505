package simulation

import (
	"bytes"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// maxImmediateWakeUps is how many times in a row a participant may ask to be woken immediately.
const maxImmediateWakeUps = 100

// process is the state of the process on a machine. A restart reuses it under the same name.
type process struct {
	fleet   *Fleet
	machine *Machine
	// generation counts the processes started on the machine. Scheduled functions of an
	// earlier one are dropped.
	generation  int
	alive       bool
	incarnation membership.Incarnation
	participant Participant
	engine      *distribution.Engine
	wrap        func(*distribution.Engine) Participant
	wakeAt      time.Time
	// immediateWakeUps counts consecutive wake-ups that ask for another one at the same time.
	immediateWakeUps int

	paused  bool
	waiting []distribution.Event
	slow    bool

	held     snapshot.Version
	changes  map[snapshot.Key]snapshot.Revision // learned before the document that contains them
	view     *membership.View
	incoming distribution.LinkID
	requests map[distribution.RequestID]bool

	// sampled is the number of members in the samples of the list that the process has read.
	sampled int

	// linkFreeAt is when the machine's link has sent all queued frames.
	linkFreeAt time.Time

	// sentBetweenZones is the part of sentBytes that went to other zones.
	sentFrames, sentBytes, sentBetweenZones int64
}

// Start adds a machine and starts a process on it. wrap, if not nil, may wrap the engine in a
// participant that misbehaves.
func (f *Fleet) Start(machine Machine, wrap func(*distribution.Engine) Participant) {
	p := &process{fleet: f, machine: &machine, wrap: wrap}
	f.processes[machine.Name] = p
	f.names = append(f.names, machine.Name)
	f.Restart(machine.Name)
}

// Replace starts a process of another build on a machine whose process ended. wrap has the meaning that it
// has for Start.
func (f *Fleet) Replace(name membership.NodeID, wrap func(*distribution.Engine) Participant) {
	f.processes[name].wrap = wrap
	f.Restart(name)
}

// Restart starts a new process on a machine whose process ended. It keeps no state of the
// former one.
func (f *Fleet) Restart(name membership.NodeID) {
	p := f.processes[name]
	if p.alive {
		return
	}
	p.generation++
	p.alive, p.paused = true, false
	p.waiting = nil
	p.held = snapshot.Version{}
	p.incoming, p.sampled = 0, 0
	p.requests = make(map[distribution.RequestID]bool)
	p.changes = make(map[snapshot.Key]snapshot.Revision)
	p.incarnation = max(p.incarnation+1, membership.Incarnation(f.now.UnixMilli()))
	p.engine = distribution.NewEngine(distribution.EngineOptions{
		Self: membership.Record{
			Node: name, Incarnation: p.incarnation, State: membership.StateReady,
			Region: p.machine.Region, Zone: p.machine.Zone, PeerAddress: string(name),
		},
		Seed:            f.random.Uint64(),
		Timing:          f.options.Timing,
		ReadersPerZone:  f.options.ReadersPerZone,
		SourceIsCurrent: f.options.SourceIsCurrent,
		MaxLinks:        f.options.MaxLinks,
	})
	p.participant = p.engine
	if p.wrap != nil {
		p.participant = p.wrap(p.engine)
	}
	p.view = p.engine.View()
	f.Platform.listChanged()
	p.handle(distribution.Tick{})
}

// Kill ends a machine's process without notice to its engine.
func (f *Fleet) Kill(name membership.NodeID) {
	p := f.processes[name]
	if !p.alive {
		return
	}
	p.alive = false
	f.Platform.forget(p)
	f.Platform.listChanged()
	for _, c := range f.sortedConnections() {
		if end, mine := c.endOf(p); mine {
			c.close(end)
		}
	}
}

// Stop shuts a machine's process down in an orderly way.
func (f *Fleet) Stop(name membership.NodeID) {
	f.processes[name].handle(distribution.Stop{})
	f.Kill(name)
}

// Pause suspends a process for a duration. Events are queued meanwhile.
func (f *Fleet) Pause(name membership.NodeID, duration time.Duration) {
	p := f.processes[name]
	if !p.alive || p.paused {
		return
	}
	p.paused = true
	f.forProcess(p, duration, func() {
		p.paused = false
		waiting := p.waiting
		p.waiting = nil
		for _, event := range append(waiting, distribution.Tick{}) {
			p.handle(event)
		}
	})
}

// SetState sets the state that a machine publishes in its record.
func (f *Fleet) SetState(name membership.NodeID, state membership.State) {
	f.processes[name].handle(distribution.SelfState{State: state})
}

// SendCrashes makes a machine detect crashes of its instance.
func (f *Fleet) DetectCrashes(name membership.NodeID, crashes ...suspects.Crash) {
	f.processes[name].handle(distribution.CrashesFound{Crashes: crashes})
}

// KnowsCrash reports whether a machine's process is running and holds the record of a crash.
func (f *Fleet) KnowsCrash(name membership.NodeID, id suspects.CrashID) bool {
	p := f.processes[name]
	return p.alive && slices.ContainsFunc(p.engine.Crashes(), func(crash suspects.Crash) bool { return crash.ID == id })
}

// ReadChanges makes a machine read changes of instances from the source, ahead of the
// document.
func (f *Fleet) ReadChanges(name membership.NodeID, changes ...snapshot.Change) {
	f.processes[name].handle(distribution.FleetChangesRead{Changes: changes})
}

// KnowsChange reports whether a machine's process is running and has learned of a change.
func (f *Fleet) KnowsChange(name membership.NodeID, change snapshot.Change) bool {
	p := f.processes[name]
	return p.alive && p.changes[change.Key] >= change.Revision
}

// SetSlow makes a machine stop reading from its peers, or resume.
func (f *Fleet) SetSlow(name membership.NodeID, slow bool) {
	f.processes[name].slow = slow
	for _, c := range f.sortedConnections() {
		c.release()
	}
}

// forProcess schedules a function, which is dropped if the process has ended by then.
func (f *Fleet) forProcess(p *process, delay time.Duration, run func()) {
	generation := p.generation
	f.after(delay, func() {
		if p.alive && p.generation == generation {
			run()
		}
	})
}

// handle passes an event to the participant and performs the resulting actions.
func (p *process) handle(event distribution.Event) {
	if !p.alive {
		return
	}
	if p.paused {
		if _, tick := event.(distribution.Tick); !tick {
			p.waiting = append(p.waiting, event)
		}
		return
	}
	for _, action := range p.participant.Handle(p.fleet.now, event) {
		p.perform(action)
	}
	p.schedule()
}

// schedule schedules a Tick for when the participant wants one.
func (p *process) schedule() {
	wake := p.participant.NextWake()
	if wake.Equal(p.wakeAt) {
		return
	}
	p.wakeAt = wake
	if wake.After(p.fleet.now) {
		p.immediateWakeUps = 0
	} else if p.immediateWakeUps++; p.immediateWakeUps > maxImmediateWakeUps {
		p.fleet.reportViolation("%s keeps asking to be woken immediately", p.machine.Name)
		p.wakeAt = p.fleet.now.Add(time.Second)
		wake = p.wakeAt
	}
	p.fleet.forProcess(p, max(wake.Sub(p.fleet.now), 0), func() {
		if p.wakeAt.Equal(wake) {
			p.wakeAt = time.Time{}
			p.handle(distribution.Tick{})
		}
	})
}

func (p *process) perform(action distribution.Action) {
	switch action := action.(type) {
	case distribution.Send:
		p.send(action)
	case distribution.Dial:
		p.dial(action)
	case distribution.CloseLink:
		if c := p.fleet.links[endpoint{p, action.Link}]; c != nil {
			c.close(c.endFor(p, action.Link))
		}
	case distribution.AwaitSource:
		p.fleet.Platform.await(p, action)
	case distribution.FetchSource:
		p.fleet.Platform.fetch(p, action)
	case distribution.FetchMembers:
		p.fleet.Platform.list(p, action)
	case distribution.CancelRequest:
		delete(p.requests, action.Request)
	case distribution.Adopt:
		p.adopt(action.Document)
	case distribution.FleetChanged:
		p.view = action.View
	case distribution.FleetChangesLearned:
		for _, change := range action.Changes {
			p.changes[change.Key] = max(p.changes[change.Key], change.Revision)
		}
	}
}

// adopt puts a document in force after a delay and checks the invariants.
func (p *process) adopt(document *snapshot.Document) {
	f := p.fleet
	f.forProcess(p, f.jitter(f.options.AdoptDelay), func() {
		version := document.Version()
		err := f.Platform.refusal(version)
		if err == nil {
			p.check(document)
			p.held = version
			if f.OnAdopt != nil {
				f.OnAdopt(p.machine.Name, version)
			}
		}
		p.handle(distribution.AdoptResult{Version: version, Err: err})
	})
}

// check verifies that a document is newer than the one held and equals what was published.
func (p *process) check(document *snapshot.Document) {
	version := document.Version()
	if !version.Newer(p.held) {
		p.fleet.reportViolation("%s replaced %s by %s, which is not newer", p.machine.Name, p.held, version)
	}
	published := p.fleet.Platform.published[version]
	if published == nil {
		p.fleet.reportViolation("%s adopted %s, which was never published", p.machine.Name, version)
		return
	}
	same := len(published.Resources()) == len(document.Resources())
	for i := 0; same && i < len(published.Resources()); i++ {
		same = bytes.Equal(published.Resources()[i].Body, document.Resources()[i].Body)
	}
	if !same {
		p.fleet.reportViolation("%s adopted %s with other content than was published", p.machine.Name, version)
	}
}

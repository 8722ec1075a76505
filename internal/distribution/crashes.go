package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/wire"
)

// CrashesFound reports crashes of the local instance, or changes to the crash records of other
// instances.
type CrashesFound struct{ Crashes []suspects.Crash }

// CrashesLearned reports crash records that other nodes sent.
type CrashesLearned struct{ Crashes []suspects.Crash }

func (CrashesLearned) isAction() {}

func (event CrashesFound) apply(e *Engine) {
	e.floodCrashes(e.crashes.Merge(event.Crashes, e.now), 0)
}

// Crashes returns the crash records that the node holds, oldest first.
func (e *Engine) Crashes() []suspects.Crash { return e.crashes.All(e.now) }

// onCrashes merges the crash records of a peer and floods those that are new.
func (e *Engine) onCrashes(l *link, m *wire.Crashes) {
	received := make([]suspects.Crash, len(m.Crashes))
	for i, crash := range m.Crashes {
		age := time.Duration(min(max(crash.Age, 0), suspects.QuarantineFor.Milliseconds())) * time.Millisecond
		received[i] = suspects.Crash{ID: crash.ID, Instance: crash.Instance, At: e.now.Add(-age), Requests: crash.Requests}
	}
	added := e.crashes.Merge(received, e.now)
	if len(added) == 0 {
		return
	}
	e.act(CrashesLearned{Crashes: added})
	e.floodCrashes(added, l.id)
}

// floodCrashes sends new or changed records to all peers except one. A request that
// crashes instances may arrive at any node next.
func (e *Engine) floodCrashes(added []suspects.Crash, except LinkID) {
	if len(added) == 0 {
		return
	}
	e.send(e.crashMessage(added), e.overlay.establishedIDs(func(l *link) bool { return l.id != except })...)
}

// sendAllCrashes sends all records on a new link: a peer that has just started, or was
// partitioned, has missed some.
func (e *Engine) sendAllCrashes(l *link) {
	if all := e.crashes.All(e.now); len(all) > 0 {
		e.send(e.crashMessage(all), l.id)
	}
}

func (e *Engine) crashMessage(crashes []suspects.Crash) *wire.Crashes {
	message := &wire.Crashes{Crashes: make([]wire.Crash, len(crashes))}
	for i, crash := range crashes {
		message.Crashes[i] = wire.Crash{
			ID: crash.ID, Instance: crash.Instance,
			Age: e.now.Sub(crash.At).Milliseconds(), Requests: crash.Requests,
		}
	}
	return message
}

package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/wire"
)

// CrashesFound tells of crashes of the own instance, or of what changed in records of others.
type CrashesFound struct{ Crashes []suspects.Crash }

// CrashesLearned tells of records that came from other nodes.
type CrashesLearned struct{ Crashes []suspects.Crash }

func (CrashesLearned) isAction() {}

func (event CrashesFound) apply(e *Engine) {
	e.spreadCrashes(e.crashes.Merge(event.Crashes, e.now), 0)
}

// Crashes returns the records of crashed instances that the node holds, the oldest first.
func (e *Engine) Crashes() []suspects.Crash { return e.crashes.All(e.now) }

// onCrashes takes over what a peer knows of crashes and passes on what was new.
func (e *Engine) onCrashes(l *link, m *wire.Crashes) {
	received := make([]suspects.Crash, len(m.Crashes))
	for i, crash := range m.Crashes {
		age := time.Duration(min(max(crash.Age, 0), suspects.QuarantineFor.Milliseconds())) * time.Millisecond
		received[i] = suspects.Crash{ID: crash.ID, Instance: crash.Instance, At: e.now.Add(-age), Requests: crash.Requests}
	}
	news := e.crashes.Merge(received, e.now)
	if len(news) == 0 {
		return
	}
	e.act(CrashesLearned{Crashes: news})
	e.spreadCrashes(news, l.id)
}

// spreadCrashes tells all peers but one of records that are new or changed. A request that
// crashes instances may come next at any node.
func (e *Engine) spreadCrashes(news []suspects.Crash, except LinkID) {
	if len(news) == 0 {
		return
	}
	e.send(e.crashMessage(news), e.overlay.lastingIDs(func(l *link) bool { return l.id != except })...)
}

// sendCrashes tells a new link of all records: nodes that start, or that were cut off, have
// missed some.
func (e *Engine) sendCrashes(l *link) {
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

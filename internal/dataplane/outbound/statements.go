package outbound

import (
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// observeStatement records what an answer that goes to the caller states about its instance. The inbound
// proxy has already recorded the answers of the local instance.
func (e *exchange) observeStatement(choice balance.Choice, sent sendResult) {
	if sent.answer == nil || choice.Local {
		return
	}
	stated := statement.Decode(e.proxy.options.Names, sent.answer.Header)
	process := choice.Instance.ID()
	change := e.proxy.options.Statements.Observe(process, stated, e.lastSentAt, time.Now())
	if change.Limit || change.Leaving {
		e.proxy.log.statementChanged(e, choice.Instance, e.proxy.options.Statements.Get(process))
	}
}

// instances returns the instances of the selected target that the request may run at. Those that have
// stated that they leave count as draining, whatever the configuration says.
func (e *exchange) instances() []snapshot.Instance {
	permitted := e.permittedInstances()
	leaving := e.proxy.options.Statements.Leaving()
	if !e.targetHasAny(leaving) {
		return permitted
	}
	marked := slices.Clone(permitted)
	for i := range marked {
		if _, leaves := leaving[marked[i].ID()]; leaves {
			marked[i].State = snapshot.InstanceDraining
		}
	}
	return marked
}

// targetHasAny reports whether any of the processes is one of the selected target.
func (e *exchange) targetHasAny(processes map[snapshot.InstanceID]struct{}) bool {
	for process := range processes {
		if instance, listed := e.current.Instance(process.Name); listed && instance.Service == e.service {
			return true
		}
	}
	return false
}

// hasUnlimitedExcept reports whether an instance other than the given one may be tried that states no
// limit on its requests.
func (e *exchange) hasUnlimitedExcept(excepted string) bool {
	for _, instance := range e.instances() {
		if instance.State == snapshot.InstanceReady && instance.Name != excepted && !e.tried[instance.Name] &&
			!e.proxy.options.Statements.Get(instance.ID()).Limit().Stated {
			return true
		}
	}
	return false
}

// pruneStatements forgets the statements of processes that the configuration no longer lists.
func (p *Proxy) pruneStatements(now time.Time) {
	current := p.options.Snapshots.Current()
	if current == nil {
		return
	}
	p.options.Statements.Prune(func(process snapshot.InstanceID) bool {
		instance, listed := current.Instance(process.Name)
		return listed && instance.ID() == process
	}, now)
}

package fleet

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// adopter puts documents in force on one simulated node: the same checks as in a
// node, with the compilation shared by all nodes.
type adopter struct {
	node    int
	process *process
	journal *Journal
	store   snapshot.Store
}

// Adopt implements distribution.Adopter. The store refuses what is not closed or
// would go back; an offer to go back is noted as a breach, since the distribution
// must not even make it.
func (a *adopter) Adopt(document *snapshot.Document) error {
	a.process.await(nil)
	compiled, err := a.journal.compile(document)
	if err != nil {
		return err
	}
	outcome, err := a.store.Adopt(compiled)
	if err != nil {
		return err
	}
	switch outcome {
	case snapshot.Adopted:
		a.journal.adopted(a.node, document.Version(), time.Now())
		return nil
	case snapshot.Unchanged:
		return nil
	default:
		a.journal.breach(nodeName(a.node) + " was offered " + document.Version().String() + ": " + outcome.String())
		return eris.Errorf("version %s: %s", document.Version(), outcome)
	}
}

// FleetChanged implements distribution.Adopter. The policies of the simulated
// fleet have no conditions.
func (a *adopter) FleetChanged(*membership.View) {}

package mirror

import "github.com/winchhead/winchhead/internal/snapshot"

// publishChanges passes changes of instances and evacuations to the callback, ahead of the
// document that contains them. call names the read that returned them, for the log.
func (m *Mirror) publishChanges(call string, items []Item) {
	logWithdrawals(m.options.Logger.WithField("call", call), items)
	if m.onChanges == nil {
		return
	}
	withholdsRemovals := m.withholdsRemovals(items)
	var changes []snapshot.Change
	for _, item := range items {
		if withholdsRemovals && item.Kind == KindInstance && item.Removed {
			continue
		}
		if change, ok := changeOf(item, m.options); ok {
			changes = append(changes, change)
		}
	}
	if len(changes) > 0 {
		m.onChanges(changes)
	}
}

// withoutNewReadyInstances returns the items except new ready instances, which are published with
// the document. While a fleet starts all instances are new, and flooding them would send every
// entry of the fleet over every link of each node.
func (m *Mirror) withoutNewReadyInstances(items []Item) []Item {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kept := make([]Item, 0, len(items))
	for _, item := range items {
		if _, known := m.state.instances[item.Key]; known || !item.isReadyInstance() {
			kept = append(kept, item)
		}
	}
	return kept
}

// isReadyInstance reports whether the item is an instance that accepts requests.
func (i Item) isReadyInstance() bool {
	return i.Instance != nil && i.Instance.State == snapshot.InstanceReady
}

// changeOf converts an item to a change; false if it does not describe one.
func changeOf(item Item, options Options) (snapshot.Change, bool) {
	revision := item.Revision
	switch {
	case item.Name == "" || revision == 0:
		return snapshot.Change{}, false
	case item.Kind == KindInstance && (item.Removed || validateItem(item, options) != nil):
		return snapshot.InstanceRemoval(revision, item.Name), true
	case item.Kind == KindInstance:
		return snapshot.InstanceChange(revision, *item.Instance), true
	case item.Kind == KindEvacuation && validateItem(item, options) == nil:
		return snapshot.EvacuationChange(revision, item.Name, !item.Removed), true
	default:
		return snapshot.Change{}, false
	}
}

package membership

import "time"

// Observe merges the observations of neighbours and returns those that raised a
// suspicion, to be passed on. An observation applies only to the exact record it
// names: one about a record that the table does not hold, or about a node that is
// already suspected or gone, is dropped. One about this node's own record is
// refuted by raising its Sequence. The caller must merge the records of a message
// before its observations.
func (t *Table) Observe(observations []Observation, now time.Time) (raised []Observation) {
	t.clock.advance(now)
	for _, observation := range observations {
		if observation.Subject == t.self.Node {
			t.refute(observation)
			continue
		}
		if t.suspect(observation) {
			raised = append(raised, observation)
		}
	}
	return raised
}

func (t *Table) suspect(observation Observation) bool {
	e := t.entries[observation.Subject]
	if e == nil || e.ended() || e.suspected() || !observation.matches(e.record) {
		return false
	}
	if observation.Observer == "" || len(observation.Observer) > maxTextBytes {
		return false
	}
	e.suspectedBy = NodeID(shared(string(observation.Observer)))
	e.suspectedAt = t.clock.elapsed
	t.updateDigest(e)
	t.markDirty(e.record.Node)
	return true
}

// refute raises the sequence of this node's record above that of a suspicion. A
// suspicion that does not name the current record was already refuted.
func (t *Table) refute(observation Observation) {
	if !observation.matches(t.self) || t.self.State == StateGone {
		return
	}
	record := t.self
	record.Sequence++
	t.setSelf(record)
}

func (o Observation) matches(record Record) bool {
	return o.Incarnation == record.Incarnation && o.Sequence == record.Sequence
}

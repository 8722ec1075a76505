package membership

import "time"

// Observe merges what neighbours report and returns those observations that
// raised a suspicion, for passing on. An observation counts only for the exact
// record it names: one about a record that the table does not hold, or about a
// node that is suspected or gone already, is dropped. One about the own record is
// refuted by raising the own Sequence. A caller merges the records of a message
// before its observations.
func (t *Table) Observe(observations []Observation, now time.Time) (news []Observation) {
	t.clock.advance(now)
	for _, observation := range observations {
		if observation.Subject == t.self.Node {
			t.refute(observation)
			continue
		}
		if t.suspect(observation) {
			news = append(news, observation)
		}
	}
	return news
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
	e.suspectedAt = t.clock.awake
	t.recount(e)
	t.touch(e.record.Node)
	return true
}

// refute raises the own sequence above a suspicion. One that names no current
// record was answered already.
func (t *Table) refute(observation Observation) {
	if !observation.matches(t.self) || t.self.State == StateGone {
		return
	}
	record := t.self
	record.Sequence++
	t.publish(record)
}

func (o Observation) matches(record Record) bool {
	return o.Incarnation == record.Incarnation && o.Sequence == record.Sequence
}

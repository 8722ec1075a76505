package distribution

import "time"

// ChangeDelay is one way from a change of the source to its being in force at a node, with the longest time
// that each step waits for a timer. The times for which messages travel and documents are compiled come in
// addition.
type ChangeDelay struct {
	// Way says by what the node learns of the change.
	Way   string
	Steps []DelayStep
}

// DelayStep is one wait of a ChangeDelay.
type DelayStep struct {
	Name string
	Max  time.Duration
}

// Total returns the sum of the steps.
func (d ChangeDelay) Total() (total time.Duration) {
	for _, step := range d.Steps {
		total += step.Max
	}
	return total
}

// ChangeDelays returns the ways by which a change reaches a node whose own path to a source that is always
// current is whole.
func (t Timing) ChangeDelays() []ChangeDelay {
	readerSilent := DelayStep{"the poll that the reader sent last stays unanswered", t.SourceWait + t.SourceGrace}
	return []ChangeDelay{
		{Way: "a reader's poll, peers", Steps: []DelayStep{
			{"the leader reads changes together", t.LeaderPollInterval},
			{"the announcement waits for that of the peer", t.AnnounceDelay},
		}},
		{Way: "the next reader's poll, peers", Steps: []DelayStep{
			readerSilent,
			{"the first poll of its successor stays unanswered", t.SourceGrace},
			{"the announcement waits for that of the peer", t.AnnounceDelay},
		}},
		{Way: "a reader of another zone, while the leader is gone", Steps: []DelayStep{
			{"it leaves the changes after the first to the leader", t.FollowerPollInterval},
			{"the announcement waits for that of the peer", t.AnnounceDelay},
		}},
		{Way: "a read of its own, without peers", Steps: []DelayStep{
			{"the newest confirmation ages", t.ConfirmationLimit},
			{"the nodes of an island start one after the other", t.StandInSpread},
		}},
		{Way: "another node of its island, while the source refuses this one", Steps: []DelayStep{
			{"the newest confirmation ages", t.ConfirmationLimit},
			{"the nodes of an island start one after the other", t.StandInSpread},
			{"it dials the others", searchInterval},
		}},
	}
}

package cli

import (
	"fmt"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// progress is the progress of a revision in a fleet.
type progress string

// The values of progress.
const (
	progressInForce progress = "in-force" // on every live member
	progressPending progress = "pending"  // not yet on every live member
	progressRefused progress = "refused"  // refused, and in force nowhere
)

// exitCode returns the exit code for the progress.
func (p progress) exitCode() int {
	switch p {
	case progressInForce:
		return ExitOK
	case progressRefused:
		return ExitRefused
	default:
		return ExitPending
	}
}

// revisionReport states how many members hold a revision, and why others don't.
type revisionReport struct {
	Revision snapshot.Revision `json:"revision"`
	Progress progress          `json:"progress"`
	Holding  int               `json:"holding"`
	Missing  []missingMember   `json:"missing"`
}

// missingMember is a member that does not hold the revision, and why.
type missingMember struct {
	Node  string           `json:"node"`
	Holds snapshot.Version `json:"holds"`
	Why   string           `json:"why"`
}

// assess determines the progress of a revision. A member that holds a higher revision
// counts as holding it, unless it keeps a newer configuration than that revision has.
func assess(fleet admin.FleetStatus, revision snapshot.Revision) revisionReport {
	assessed := revisionReport{Revision: revision, Progress: progressPending, Missing: []missingMember{}}
	refused := false
	for _, member := range fleet.Members {
		if member.Status != nil && holds(member.Status.Held.Revision, revision) {
			assessed.Holding++
			continue
		}
		missing := missingMember{Node: string(member.Node), Why: "gave no answer: " + member.Error}
		if member.Status != nil {
			missing.Holds = member.Status.Held
			missing.Why = missingReason(*member.Status, revision)
			refused = refused || refuses(*member.Status, revision)
		}
		assessed.Missing = append(assessed.Missing, missing)
	}
	switch {
	case len(assessed.Missing) == 0 && assessed.Holding > 0:
		assessed.Progress = progressInForce
	case refused && assessed.Holding == 0:
		assessed.Progress = progressRefused
	}
	return assessed
}

// holds reports whether a member on which held is in force has adopted revision. A held document
// that keeps a newer configuration than the restored source has does not count, as the source's
// own configuration is not in force.
func holds(held, revision snapshot.Revision) bool {
	return held >= revision && !held.KeepsConfiguration()
}

func refuses(status admin.NodeStatus, revision snapshot.Revision) bool {
	return status.Refused != nil && status.Refused.Version.Revision == revision
}

func missingReason(status admin.NodeStatus, revision snapshot.Revision) string {
	switch {
	case refuses(status, revision):
		return "refused it: " + status.Refused.Reason
	case status.Held.Revision.KeepsConfiguration():
		return fmt.Sprintf("holds %s (%s): keeps a newer configuration than the restored platform has", status.Held, status.State)
	case status.Held.IsZero():
		return fmt.Sprintf("holds no version yet (%s)", status.State)
	default:
		return fmt.Sprintf("still holds %s (%s)", status.Held, status.State)
	}
}

// newestRevision returns the highest revision that any member holds or refused.
func newestRevision(fleet admin.FleetStatus) snapshot.Revision {
	var newest snapshot.Revision
	for _, member := range fleet.Members {
		if member.Status == nil {
			continue
		}
		newest = max(newest, member.Status.Held.Revision)
		if member.Status.Refused != nil {
			newest = max(newest, member.Status.Refused.Version.Revision)
		}
	}
	return newest
}

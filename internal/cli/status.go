package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const statusHelp = `Asks one node, which asks every live member, and prints which version each holds. Exit codes: 0 all live members hold the newest revision, 1 the newest revision was refused, 3 the node gave no answer, 4 some members do not hold the newest revision or gave no answer.`

type statusCommand struct {
	environment
	adminFlags
	outputFlags
}

// statusAnswer is the output of status.
type statusAnswer struct {
	Newest  revisionReport       `json:"newest"`
	Members []admin.MemberStatus `json:"members"`
	Restore *admin.Restore       `json:"restore,omitempty"`
}

// Execute prints the version that each member holds.
func (c *statusCommand) Execute([]string) error {
	fleet, err := admin.NewClient(c.Admin).Fleet(c.ctx)
	if err != nil {
		return err
	}
	answer := statusAnswer{Newest: assess(fleet, newestRevision(fleet)), Members: fleet.Members, Restore: fleet.Restore}
	if err := c.print(c.stdout, answer, answer.write); err != nil {
		return err
	}
	if code := answer.Newest.Progress.exitCode(); code != ExitOK {
		return &exitError{code: code}
	}
	return nil
}

func (a statusAnswer) write(out io.Writer) {
	lines := newTable(out, "NODE", "ZONE", "STATE", "VERSION", "GENERATION", "READER", "SOURCE AGE", "REMARK")
	for _, member := range a.Members {
		if member.Status == nil {
			lines.row(string(member.Node), "", "", "", "", "", "", "gave no answer: "+member.Error)
			continue
		}
		status := *member.Status
		lines.row(string(status.Node), status.Zone, status.State, formatVersion(status.Held),
			strconv.FormatUint(status.Generation, 10), yesOrNo(status.Reader), formatSourceAge(status), formatRemarks(status))
	}
	lines.flush()
	_, _ = fmt.Fprintf(out, "\nRevision %s is %s: %d of %d live members hold it.\n",
		a.Newest.Revision, a.Newest.Progress, a.Newest.Holding, len(a.Members))
	if a.Restore != nil {
		_, _ = fmt.Fprintln(out, describeRestore(*a.Restore))
	}
}

// describeRestore describes the last restore of the source that the queried node has seen.
func describeRestore(restore admin.Restore) string {
	line := fmt.Sprintf("The source was restored from a backup %s ago: from %s to %s.", restore.Age, restore.From, restore.To)
	if restore.Retained > 0 {
		line += fmt.Sprintf(" %d statements about instances and evacuations are retained in place of the backup's, for %s more at most.", restore.Retained, restore.RetainedFor)
	}
	return line
}

// formatVersion formats a version for a table.
func formatVersion(version snapshot.Version) string {
	if version.IsZero() {
		return "none"
	}
	return version.String()
}

func yesOrNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func formatSourceAge(status admin.NodeStatus) string {
	if status.SourceAge < 0 {
		return "never"
	}
	return status.SourceAge.String()
}

func formatRemarks(status admin.NodeStatus) string {
	var remarks []string
	if status.Refused != nil {
		remarks = append(remarks, fmt.Sprintf("refused %s: %s", status.Refused.Version, status.Refused.Reason))
	}
	if status.Conflict != nil {
		remarks = append(remarks, fmt.Sprintf("also saw %s: one revision with two contents", status.Conflict))
	}
	return strings.Join(remarks, "; ")
}

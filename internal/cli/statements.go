package cli

import (
	"io"
	"strconv"
	"time"

	"github.com/winchhead/winchhead/internal/admin"
)

const statementsHelp = `Lists the instances that state in their answers that they limit their requests or leave, as far as a node has heard, and how many requests it refused because of a limit. The node beside an instance hears all its answers. Exit codes: 0 done, 3 the node gave no answer.`

type statementsCommand struct {
	environment
	adminFlags
	outputFlags
}

// statementsAnswer is the output of statements.
type statementsAnswer struct{ admin.StatementList }

// Execute prints the statements.
func (c *statementsCommand) Execute([]string) error {
	list, err := admin.NewClient(c.Admin).Statements(c.ctx)
	if err != nil {
		return err
	}
	answer := statementsAnswer{list}
	return c.print(c.stdout, answer, answer.write)
}

func (a statementsAnswer) write(out io.Writer) {
	lines := newTable(out, "INSTANCE", "SERVICE", "ZONE", "LIMIT/S", "LIMITED FOR", "LEAVING FOR", "REFUSED")
	for _, each := range a.Statements {
		limit := ""
		if each.Limit != nil {
			limit = formatRate(*each.Limit)
		}
		lines.row(each.Instance, each.Service, each.Zone, limit, formatElapsed(each.LimitedFor), formatElapsed(each.LeavingFor), strconv.Itoa(each.Refused))
	}
	lines.flush()
}

// formatElapsed formats a duration for a table; zero is left out.
func formatElapsed(duration admin.Duration) string {
	if duration == 0 {
		return ""
	}
	return time.Duration(duration).String()
}

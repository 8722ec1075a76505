package cli

import (
	"fmt"
	"io"

	"github.com/winchhead/winchhead/internal/admin"
)

const faultsHelp = `Lists the resources of the configuration that a node has in force of whose entries not all was used, with the reason. Requests for an unusable one are refused with 503; the others are served without the part that is named. Exit codes: 0 there are none, 1 there are some, 3 the node gave no answer.`

type faultsCommand struct {
	environment
	adminFlags
	outputFlags
}

// faultsAnswer is the output of faults.
type faultsAnswer struct{ admin.FaultList }

// Execute prints the faults.
func (c *faultsCommand) Execute([]string) error {
	list, err := admin.NewClient(c.Admin).Faults(c.ctx)
	if err != nil {
		return err
	}
	answer := faultsAnswer{list}
	if err := c.print(c.stdout, answer, answer.write); err != nil {
		return err
	}
	if len(list.Faults) > 0 {
		return &exitError{code: ExitRefused}
	}
	return nil
}

func (a faultsAnswer) write(out io.Writer) {
	if len(a.Faults) == 0 {
		_, _ = fmt.Fprintf(out, "All of version %s is used.\n", formatVersion(a.Version))
		return
	}
	lines := newTable(out, "KIND", "NAME", "UNUSABLE", "PROBLEM")
	for _, fault := range a.Faults {
		lines.row(fault.Kind, fault.Name, yesOrNo(fault.Unusable), fault.Problem)
	}
	lines.flush()
}

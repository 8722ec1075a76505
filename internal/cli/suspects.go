package cli

import (
	"io"
	"strconv"
	"time"

	"github.com/winchhead/winchhead/internal/admin"
)

const suspectsHelp = `Lists the requests that may crash the instances which run them, by the fingerprint of their content that logs show, or lets one in again at all nodes. Exit codes: 0 done, 1 nothing stands against that fingerprint, 3 the node gave no answer.`

type suspectsCommand struct {
	environment
	adminFlags
	outputFlags
	Clear string `long:"clear" value-name:"FINGERPRINT" description:"let the requests of this fingerprint in again"`
}

// suspectsAnswer is the output of suspects.
type suspectsAnswer struct{ admin.SuspectList }

// Execute prints the suspects, after clearing one if --clear is set.
func (c *suspectsCommand) Execute([]string) error {
	client := admin.NewClient(c.Admin)
	list, err := client.Suspects(c.ctx)
	if c.Clear != "" {
		list, err = client.ClearSuspect(c.ctx, c.Clear)
	}
	if err != nil {
		return err
	}
	answer := suspectsAnswer{list}
	return c.print(c.stdout, answer, answer.write)
}

func (a suspectsAnswer) write(out io.Writer) {
	lines := newTable(out, "FINGERPRINT", "STANDING", "CRASHES", "UNDER PROBE", "REFUSED UNTIL")
	for _, suspect := range a.Suspects {
		until := ""
		if !suspect.RefusedUntil.IsZero() {
			until = suspect.RefusedUntil.UTC().Format(time.RFC3339)
		}
		lines.row(suspect.Fingerprint, suspect.Standing, strconv.Itoa(suspect.Crashes), strconv.Itoa(suspect.Probes), until)
	}
	lines.flush()
}

package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const watchHelp = `Waits until a revision, or a later one, is in force on every live member, and otherwise says which members don't hold it and why. Exit codes: 0 in force everywhere, 1 refused, 3 the node gave no answer, 4 the time was over first.`

// watchInterval is the time between two queries of the fleet.
const watchInterval = 500 * time.Millisecond

type watchCommand struct {
	environment
	adminFlags
	outputFlags
	Revision revisionFlag  `long:"revision" value-name:"N" required:"yes" description:"revision to wait for, as the platform numbered it; E:N for one of an epoch"`
	Timeout  time.Duration `long:"timeout" value-name:"TIME" default:"30s" description:"longest time to wait"`
}

// revisionFlag is a revision as the platform numbered it, with or without an epoch.
type revisionFlag struct{ revision snapshot.Revision }

// UnmarshalFlag implements flags.Unmarshaler.
func (f *revisionFlag) UnmarshalFlag(text string) (err error) {
	f.revision, err = snapshot.ParseRevision(text)
	return err
}

// inEpochOf returns the revision, in the epoch of newest if it names none itself.
func (f revisionFlag) inEpochOf(newest snapshot.Revision) snapshot.Revision {
	if f.revision.Epoch() > 0 {
		return f.revision
	}
	return snapshot.NewRevision(newest.Epoch(), f.revision.Number())
}

// Execute waits until the revision is in force or refused, or the timeout expires.
func (c *watchCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	last, err := c.wait(ctx, admin.NewClient(c.Admin))
	if err != nil {
		return err
	}
	if err := c.print(c.stdout, last, last.write); err != nil {
		return err
	}
	if code := last.Progress.exitCode(); code != ExitOK {
		return &exitError{code: code}
	}
	return nil
}

// wait queries the node until the progress is final or ctx ends. The first query must
// succeed; later ones may fail, for example while the node restarts.
func (c *watchCommand) wait(ctx context.Context, client *admin.Client) (revisionReport, error) {
	var last revisionReport
	hasAnswer := false
	for {
		fleet, err := client.Fleet(ctx)
		var unreachable *admin.UnreachableError
		switch {
		case err == nil:
			next := assess(fleet, c.Revision.inEpochOf(newestRevision(fleet)))
			c.showProgress(last, next)
			last, hasAnswer = next, true
		case !hasAnswer || !errors.As(err, &unreachable):
			return last, err
		}
		if last.Progress != progressPending {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(watchInterval):
		}
	}
}

func (c *watchCommand) showProgress(last, next revisionReport) {
	if last.Progress == "" || last.Holding != next.Holding {
		_, _ = fmt.Fprintf(c.stderr, "%d of %d live members hold revision %s\n",
			next.Holding, next.Holding+len(next.Missing), next.Revision)
	}
}

func (r revisionReport) write(out io.Writer) {
	switch r.Progress {
	case progressInForce:
		_, _ = fmt.Fprintf(out, "Revision %s is in force on all %d live members.\n", r.Revision, r.Holding)
		return
	case progressRefused:
		_, _ = fmt.Fprintf(out, "Revision %s was refused and is in force nowhere. Fix it and submit a new revision.\n", r.Revision)
	default:
		_, _ = fmt.Fprintf(out, "Revision %s is not in force everywhere: %d of %d live members hold it.\n",
			r.Revision, r.Holding, r.Holding+len(r.Missing))
	}
	lines := newTable(out, "NODE", "HOLDS", "WHY")
	for _, member := range r.Missing {
		lines.row(member.Node, formatVersion(member.Holds), member.Why)
	}
	lines.flush()
}

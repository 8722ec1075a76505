package cli

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/admin"
)

// TestFaultsTable checks the text that the command prints. Names are arbitrary: they must not garble the table
// or control the terminal.
func TestFaultsTable(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	faultsAnswer{admin.FaultList{Faults: []admin.Fault{
		{Kind: "route", Name: "a b\t\x1b[2J", Unusable: true, Problem: "the route has no target"},
		{Kind: "service", Name: "añil", Problem: "maxConnections is not a number: there is no limit"},
	}}}.write(&out)
	c.Check(out.String(), qt.Equals, ""+
		"KIND     NAME            UNUSABLE  PROBLEM\n"+
		"route    \"a b\\t\\x1b[2J\"  yes       the route has no target\n"+
		"service  añil            no        maxConnections is not a number: there is no limit\n")
	out.Reset()
	faultsAnswer{}.write(&out)
	c.Check(out.String(), qt.Equals, "All of version none is used.\n")
}

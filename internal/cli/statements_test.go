package cli

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/admin"
)

// TestStatementsTable checks the text that the command prints: a limit of zero is shown, none is not.
func TestStatementsTable(t *testing.T) {
	limit := 0.0
	answer := statementsAnswer{admin.StatementList{Statements: []admin.InstanceStatement{
		{Instance: "i-1", Service: "data", Zone: "north", Limit: &limit, LimitedFor: admin.Duration(1500 * time.Millisecond), Refused: 12},
		{Instance: "i-2", Service: "data", Zone: "south", LeavingFor: admin.Duration(2 * time.Second)},
	}}}
	var out bytes.Buffer
	answer.write(&out)
	qt.Check(t, out.String(), qt.Equals, ""+
		"INSTANCE  SERVICE  ZONE   LIMIT/S  LIMITED FOR  LEAVING FOR  REFUSED\n"+
		"i-1       data     north  0.0      1.5s         -            12\n"+
		"i-2       data     south  -        -            2s           0\n")
}

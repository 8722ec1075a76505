package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// run runs one command and returns its exit code and output.
func run(c *qt.C, arguments ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(c.Context(), arguments, &out, &errs)
	return code, out.String(), errs.String()
}

// member returns the status of a member that holds one revision and refused another,
// which may be 0 for none.
func member(held, refused snapshot.Revision) admin.MemberStatus {
	status := &admin.NodeStatus{Node: "centro-edge", Zone: "centro", State: "ready", Held: snapshot.Version{Revision: held}}
	if refused > 0 {
		status.Refused = &admin.Refusal{Version: snapshot.Version{Revision: refused}, Reason: "trips:3: no such service"}
	}
	return admin.MemberStatus{Node: status.Node, Status: status}
}

var unreachableMember = admin.MemberStatus{Node: "cerro-edge", Error: "no route to host"}

func TestAssess(t *testing.T) {
	rows := []struct {
		name     string
		members  []admin.MemberStatus
		want     progress
		code     int
		wantText string
	}{
		{"all hold it", []admin.MemberStatus{member(7, 0), member(7, 0)}, progressInForce, ExitOK, "in force on all 2"},
		{"one holds a later one", []admin.MemberStatus{member(7, 0), member(8, 0)}, progressInForce, ExitOK, "in force on all 2"},
		{"one is behind", []admin.MemberStatus{member(7, 0), member(6, 0)}, progressPending, ExitPending, "still holds 6/"},
		{"one holds nothing", []admin.MemberStatus{member(7, 0), member(0, 0)}, progressPending, ExitPending, "holds no version"},
		{"one does not respond", []admin.MemberStatus{member(7, 0), unreachableMember}, progressPending, ExitPending, "no route to host"},
		{"refused by the first", []admin.MemberStatus{member(6, 7), member(6, 0)}, progressRefused, ExitRefused, "no such service"},
		{"refused by one only", []admin.MemberStatus{member(7, 0), member(6, 7)}, progressPending, ExitPending, "no such service"},
		{"another revision refused", []admin.MemberStatus{member(6, 5), member(6, 5)}, progressPending, ExitPending, "still holds 6/"},
		{"no members", nil, progressPending, ExitPending, "0 of 0"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			assessed := assess(admin.FleetStatus{Members: row.members}, 7)
			c.Assert(assessed.Progress, qt.Equals, row.want)
			c.Assert(assessed.Progress.exitCode(), qt.Equals, row.code)
			var out bytes.Buffer
			assessed.write(&out)
			c.Assert(out.String(), qt.Contains, row.wantText)
		})
	}
}

// fleetServer serves the fleets one after the other at /v1/fleet, and then the last one
// again.
func fleetServer(c *qt.C, fleets ...admin.FleetStatus) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.URL.Path, qt.Equals, "/v1/fleet")
		c.Check(json.NewEncoder(w).Encode(fleets[0]), qt.IsNil)
		if len(fleets) > 1 {
			fleets = fleets[1:]
		}
	}))
	c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestWatchWaitsForFleet(t *testing.T) {
	c := qt.New(t)
	before := admin.FleetStatus{Members: []admin.MemberStatus{member(6, 0)}}
	refused := admin.FleetStatus{Members: []admin.MemberStatus{member(6, 7)}}
	after := admin.FleetStatus{Members: []admin.MemberStatus{member(7, 0)}}

	code, stdout, _ := run(c, "watch", "--revision", "7", "--admin", fleetServer(c, before, after))
	c.Assert(code, qt.Equals, ExitOK)
	c.Assert(stdout, qt.Equals, "Revision 7 is in force on all 1 live members.\n")
	code, stdout, _ = run(c, "watch", "--revision", "7", "--admin", fleetServer(c, before, refused))
	c.Assert(code, qt.Equals, ExitRefused)
	c.Assert(stdout, qt.Contains, "trips:3: no such service")
}

// TestWatchAfterRestore: a platform that is restored from a backup reuses revision numbers. A
// number without an epoch means the newest epoch that a member holds, so that watch does not
// take the same number of an earlier epoch for it.
func TestWatchAfterRestore(t *testing.T) {
	c := qt.New(t)
	restored := func(number uint64) admin.FleetStatus {
		return admin.FleetStatus{Members: []admin.MemberStatus{member(snapshot.NewRevision(2, number), 0)}}
	}
	code, stdout, _ := run(c, "watch", "--revision", "7", "--admin", fleetServer(c, restored(6), restored(7)))
	c.Check(code, qt.Equals, ExitOK)
	c.Check(stdout, qt.Equals, "Revision 2:7 is in force on all 1 live members.\n")
	code, _, _ = run(c, "watch", "--revision", "1:90", "--admin", fleetServer(c, restored(6)))
	c.Check(code, qt.Equals, ExitOK)
	keeping, err := snapshot.ParseRevision("2:7+")
	c.Assert(err, qt.IsNil)
	assessed := assess(admin.FleetStatus{Members: []admin.MemberStatus{member(keeping, 0)}}, snapshot.NewRevision(2, 7))
	c.Check(assessed.Progress, qt.Equals, progressPending)
	c.Check(assessed.Missing[0].Why, qt.Contains, "keeps a newer configuration")
	code, _, stderr := run(c, "watch", "--revision", "2:x", "--admin", fleetServer(c, restored(6)))
	c.Check(code, qt.Equals, ExitUsage)
	c.Check(stderr, qt.Contains, "is not a revision")
}

// TestCancelledWatchReportsMissingMembers cancels the wait at the second query.
func TestCancelledWatchReportsMissingMembers(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(c.Context())
	queries := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		queries++
		if queries > 1 {
			cancel()
			return
		}
		c.Check(json.NewEncoder(w).Encode(admin.FleetStatus{Members: []admin.MemberStatus{member(6, 0)}}), qt.IsNil)
	}))
	c.Cleanup(server.Close)
	var stdout, stderr bytes.Buffer
	code := Run(ctx, []string{"watch", "--revision", "7", "--output", "json", "--admin", server.Listener.Addr().String()}, &stdout, &stderr)
	c.Assert(code, qt.Equals, ExitPending)
	var report revisionReport
	c.Assert(json.Unmarshal(stdout.Bytes(), &report), qt.IsNil)
	c.Assert(report.Progress, qt.Equals, progressPending)
	c.Assert(report.Missing, qt.HasLen, 1)
}

func TestStatusShowsRestore(t *testing.T) {
	c := qt.New(t)
	fleet := admin.FleetStatus{Members: []admin.MemberStatus{member(snapshot.NewRevision(2, 30), 0)}}
	_, stdout, _ := run(c, "status", "--admin", fleetServer(c, fleet))
	c.Check(stdout, qt.Not(qt.Contains), "restored")
	fleet.Restore = &admin.Restore{
		From: snapshot.Version{Revision: snapshot.NewRevision(1, 97)}, To: snapshot.NewRevision(2, 30), Age: admin.Duration(1500 * time.Millisecond),
		Retained: 12, RetainedFor: admin.Duration(4500 * time.Millisecond),
	}
	_, stdout, _ = run(c, "status", "--admin", fleetServer(c, fleet))
	c.Check(stdout, qt.Contains, "The source was restored from a backup 1.5s ago: from 1:97/")
	c.Check(stdout, qt.Contains, " to 2:30. 12 statements about instances and evacuations are retained in place of the backup's, for 4.5s more at most.")
	fleet.Restore.Retained = 0
	_, stdout, _ = run(c, "status", "--admin", fleetServer(c, fleet))
	c.Check(stdout, qt.Contains, " to 2:30.\n")
}

func TestStatusExitCode(t *testing.T) {
	c := qt.New(t)
	for code, fleet := range map[int]admin.FleetStatus{
		ExitOK:      {Members: []admin.MemberStatus{member(7, 0), member(7, 0)}},
		ExitPending: {Members: []admin.MemberStatus{member(7, 0), unreachableMember}},
		ExitRefused: {Members: []admin.MemberStatus{member(7, 8), member(7, 0)}},
	} {
		got, stdout, _ := run(c, "status", "--admin", fleetServer(c, fleet))
		c.Assert(got, qt.Equals, code)
		c.Assert(stdout, qt.Contains, "centro-edge")
	}
}

func TestExitCodes(t *testing.T) {
	const example = "../../examples/montevideo/settings/centro-reservas.yaml"
	const freePorts = "--peers.listen 127.0.0.1:0 --outbound.listen 127.0.0.1:0 --inbound.listen 127.0.0.1:0 --admin.listen 127.0.0.1:0"
	rows := []struct {
		name      string
		arguments string
		code      int
		stdout    string
		stderr    string
	}{
		{"help", "--help", ExitOK, "Available commands", ""},
		{"no command", "", ExitUsage, "", "specify one command"},
		{"unknown command", "begin", ExitUsage, "", "Unknown command"},
		{"missing flag", "watch", ExitUsage, "", "--revision"},
		{"no node at the address", "status --admin 127.0.0.1:1", ExitUnreachable, "", "Check that the node runs"},
		{"settings", "settings --settings " + example + " --log.level debug", ExitOK, "debug", ""},
		{"wrong settings", "settings --settings " + example + " --node.zone=", ExitUsage, "", "flag --node.zone: missing"},
		{"no settings file", "settings --settings nowhere.yaml", ExitUsage, "", "cannot read the settings file"},
		{"bad header", "explain --header nonsense", ExitUsage, "", "write NAME:VALUE"},
		{"address of another machine", "node --settings " + example + " --peers.listen 192.0.2.1:1", ExitFailed, "", "Free the address"},
		{"no TLS files", "node --settings " + example + " --tls.key_file k --tls.certificate_file c --tls.authority_file a " + freePorts,
			ExitUsage, "", "certificate_file"},
		{"version", "version --output json", ExitOK, `"protocol": 2`, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			code, stdout, stderr := run(c, strings.Fields(row.arguments)...)
			c.Assert(code, qt.Equals, row.code, qt.Commentf(stderr))
			c.Assert(stdout, qt.Contains, row.stdout)
			c.Assert(stderr, qt.Contains, row.stderr)
		})
	}
}

func TestCheckLocatesErrors(t *testing.T) {
	c := qt.New(t)
	for _, example := range []string{"montevideo", "kerlann"} {
		code, stdout, _ := run(c, "check", "../../examples/"+example+"/content.yaml")
		c.Assert(code, qt.Equals, ExitOK)
		c.Assert(stdout, qt.Contains, "accepted")
	}
	directory := c.TempDir()
	content := filepath.Join(directory, "content.yaml")
	c.Assert(os.WriteFile(content, []byte("services:\n  - name: reservas\npolicies:\n  - bad.star\n"), 0o600), qt.IsNil)
	bad := "route(name=\"a\", to=\"reservas\")\nroute(name=\"b\", to=\"nowhere\")\n"
	c.Assert(os.WriteFile(filepath.Join(directory, "bad.star"), []byte(bad), 0o600), qt.IsNil)
	code, stdout, _ := run(c, "check", content)
	c.Assert(code, qt.Equals, ExitRefused)
	c.Assert(stdout, qt.Contains, `bad.star:2:`)
	c.Assert(stdout, qt.Contains, `there is no service "nowhere" in this revision`)

	code, stdout, _ = run(c, "check", "--output", "json", filepath.Join(directory, "absent.yaml"), content)
	c.Assert(code, qt.Equals, ExitRefused)
	var reports []checkReport
	c.Assert(json.Unmarshal([]byte(stdout), &reports), qt.IsNil)
	c.Assert(reports, qt.HasLen, 2)
	c.Assert(reports[0].Problem, qt.Contains, "absent.yaml")
	c.Assert(reports[1].Faults[0].Line, qt.Equals, 2)

	code, _, _ = run(c, "check")
	c.Assert(code, qt.Equals, ExitUsage)
	code, _, stderr := run(c, "check", "--settings", content)
	c.Assert(code, qt.Equals, ExitUsage)
	c.Assert(stderr, qt.Contains, "content.yaml:1: services: unknown section")
}

package integration

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestWholePath distributes a policy from the platform to three nodes and sends a request
// to a backend, with every component in a process of its own.
func TestWholePath(t *testing.T) {
	t.Parallel()
	host := mesh.NextHost()
	at := func(port string) string { return net.JoinHostPort(host, port) }
	plan, err := deployment.Load("testdata/small")
	qt.Assert(t, err, qt.IsNil)
	plan, err = plan.WithHost(host)
	qt.Assert(t, err, qt.IsNil)

	startProgram(t, benchBinary, "platform", "--listen", at("22000"), "--operators", at("22001"),
		"--content", "testdata/small/empty.yaml", "--members", "testdata/small/settings/*.yaml", "--host", host)
	var operators, entry string
	var controls []string
	for _, node := range plan.Nodes {
		startNode(t, node)
		if node.Edge() {
			operators, entry = node.Admin.Listen, node.Outbound.Listen
			continue
		}
		control := at("2205" + node.Node.Name[len(node.Node.Name)-1:])
		startProgram(t, benchBinary, "backend", "--name", node.Node.Name, "--listen", node.Inbound.Backend, "--control", control)
		controls = append(controls, control)
	}

	awaitAdmin(t, operators)
	version := submit(t, at("22001"), plan.Content.Policies[0])
	watch := exec.Command(winchheadBinary, "watch", "--admin", operators, "--revision", "2", "--timeout", testTimeout.String())
	output, err := watch.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, version.Revision, qt.Equals, snapshot.Revision(2))
	awaitReady(t, operators)

	call := load.Call{ID: "booking-1", Method: http.MethodPost, Host: "booking", Path: "/echo", BodyBytes: 2000, Timeout: 4 * time.Second}
	result := load.Send(load.NewTransport(), entry, call, time.Now())
	qt.Assert(t, result.Class, qt.Equals, load.Answered, qt.Commentf("%+v", result))
	qt.Assert(t, readJournals(t, controls)(call.ID), qt.Equals, backend.Runs{Started: 1, Finished: 1})
}

// startNode starts a node process and stops it at the end of the test.
func startNode(t testing.TB, node deployment.Node) {
	arguments := []string{"node", "--settings", node.File}
	for key, value := range node.Overrides {
		arguments = append(arguments, "--"+key+"="+value)
	}
	command := exec.Command(winchheadBinary, arguments...)
	command.Stderr = os.Stderr
	qt.Assert(t, command.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

// awaitAdmin waits until the HTTP server for operators of a node answers.
func awaitAdmin(t testing.TB, address string) {
	ctx := testContext(t)
	client := admin.NewClient(address)
	for {
		_, err := client.Status(ctx)
		if err == nil {
			return
		}
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("last error: %v", err))
	}
}

// awaitReady waits until a node reports that it accepts callers. An edge has a configuration
// in force a moment before it knows a backend.
func awaitReady(t testing.TB, address string) {
	ctx := testContext(t)
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		qt.Assert(t, err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// submit publishes a policy through the platform's HTTP server for operators.
func submit(t testing.TB, operators string, policy snapshot.Policy) snapshot.Version {
	body, err := json.Marshal(policy)
	qt.Assert(t, err, qt.IsNil)
	response, err := http.Post("http://"+operators+"/v1/policies", "application/json", bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	var version snapshot.Version
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&version), qt.IsNil)
	return version
}

// readJournals reads the journals of backends from their control HTTP servers.
func readJournals(t testing.TB, controls []string) load.Journal {
	var records []backend.JournalRecord
	for _, control := range controls {
		response, err := http.Get("http://" + control + backend.PathJournal)
		qt.Assert(t, err, qt.IsNil)
		var record backend.JournalRecord
		qt.Assert(t, json.NewDecoder(response.Body).Decode(&record), qt.IsNil)
		qt.Assert(t, response.Body.Close(), qt.IsNil)
		records = append(records, record)
	}
	return load.MergeJournals(records...)
}

package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/emulator/platform"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// argumentsVariable is the environment variable with the arguments of winchhead. If it
// is set, the test binary runs winchhead instead of the tests.
const argumentsVariable = "WINCHHEAD_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Exit(Run(context.Background(), strings.Fields(arguments), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// logLine holds the fields that the test reads from a line of the node's log.
type logLine struct{ Message, Outbound, Admin string }

// nodeProcess is the sidecar of a backend that responds only once hold is closed.
type nodeProcess struct {
	command *exec.Cmd
	log     *bufio.Scanner
	arrived chan struct{}
	hold    chan struct{}
	started logLine
}

func startNodeProcess(c *qt.C) *nodeProcess {
	node := &nodeProcess{arrived: make(chan struct{}, 1), hold: make(chan struct{})}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		node.arrived <- struct{}{}
		<-node.hold
		_, _ = io.WriteString(w, "whole answer")
	}))
	c.Cleanup(backend.Close)
	emulated, err := platform.New(platform.Options{Content: snapshot.Content{
		Services: []snapshot.Service{{Name: "reservas"}},
		Policies: []snapshot.Policy{{Name: "reservas.star", Program: `route(name="all", to="reservas", timeout="60s")`}},
	}})
	c.Assert(err, qt.IsNil)
	source := httptest.NewServer(emulated.Handler())
	c.Cleanup(source.Close)
	node.command = exec.Command(os.Args[0])
	node.command.Env = append(os.Environ(), argumentsVariable+"=node --node.name=a --node.region=r --node.zone=z"+
		" --platform.url="+source.URL+" --peers.listen=127.0.0.1:0 --outbound.listen=127.0.0.1:0"+
		" --inbound.listen=127.0.0.1:0 --admin.listen=127.0.0.1:0 --inbound.service=reservas"+
		" --inbound.backend="+backend.Listener.Addr().String()+" --log.format=json")
	output, err := node.command.StderrPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(node.command.Start(), qt.IsNil)
	c.Cleanup(func() { _ = node.command.Process.Kill() })
	node.log = bufio.NewScanner(output)
	node.started = node.awaitLog(c, "started")
	return node
}

// awaitLog returns the next line with the given message.
func (n *nodeProcess) awaitLog(c *qt.C, message string) logLine {
	for n.log.Scan() {
		line := struct{ Msg, Outbound, Admin string }{}
		c.Assert(json.Unmarshal(n.log.Bytes(), &line), qt.IsNil)
		if line.Msg == message {
			return logLine{Message: line.Msg, Outbound: line.Outbound, Admin: line.Admin}
		}
	}
	c.Fatalf("the log ended before %q", message)
	return logLine{}
}

// awaitInstance waits until the node sees its own instance accept requests.
func (n *nodeProcess) awaitInstance(c *qt.C) {
	const pollInterval = 5 * time.Millisecond
	client := admin.NewClient(n.started.Admin)
	for {
		explanation, err := client.Explain(c.Context(), admin.ExplainRequest{Method: http.MethodPost, Path: "/"})
		if err == nil && len(explanation.Targets) > 0 && len(explanation.Targets[0].Instances) > 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

// post sends a request that may not be repeated. It returns the body of the response, or
// "cut" if the connection broke.
func (n *nodeProcess) post() string {
	response, err := http.Post("http://"+n.started.Outbound+"/", "text/plain", nil)
	if err != nil {
		return "cut"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut"
	}
	return string(body)
}

// TestSignalsStopNode checks what signals do to a request in progress. A supervisor may repeat SIGTERM: if that
// ended the process, callers would get no answer to requests that have run.
func TestSignalsStopNode(t *testing.T) {
	rows := []struct {
		name   string
		later  []os.Signal
		code   int
		answer string
	}{
		{"one signal lets the request finish", nil, ExitOK, "whole answer"},
		{"further SIGTERMs change nothing", []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, ExitOK, "whole answer"},
		{"SIGINT during the stop ends the node at once", []os.Signal{os.Interrupt}, ExitCutShort, "cut"},
		{"and so it does after a further SIGTERM", []os.Signal{syscall.SIGTERM, os.Interrupt}, ExitCutShort, "cut"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			node := startNodeProcess(c)
			node.awaitInstance(c)
			answered := make(chan string, 1)
			go func() { answered <- node.post() }()
			<-node.arrived
			c.Assert(node.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
			node.awaitLog(c, "leaving: no new work")
			for _, later := range row.later {
				c.Assert(node.command.Process.Signal(later), qt.IsNil)
				if later == syscall.SIGTERM {
					node.awaitLog(c, "received terminated again, already stopping")
				}
			}
			if row.code == ExitOK {
				close(node.hold)
			}
			c.Assert(<-answered, qt.Equals, row.answer)
			for node.log.Scan() { // read until the process ends
			}
			var exit *exec.ExitError
			if err := node.command.Wait(); err != nil && !errors.As(err, &exit) {
				c.Fatal(err)
			}
			c.Assert(node.command.ProcessState.ExitCode(), qt.Equals, row.code)
			if row.code != ExitOK {
				close(node.hold)
			}
		})
	}
}

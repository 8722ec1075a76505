package dataplane_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/dataplane"
	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/server"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// fixedSource is a snapshot that does not change.
type fixedSource struct{ snapshot *snapshot.Snapshot }

// Current returns the snapshot.
func (f fixedSource) Current() *snapshot.Snapshot { return f.snapshot }

// startNode runs the data plane of an emulated instance's sidecar and returns it with its address
// for callers.
func startNode(c *qt.C) (node *dataplane.Node, callers string) {
	return startNodeOf(c, &instance.Instance{Name: "i-1"}, nil, typedRoute("r", "h.example", 0))
}

// typedRoute returns a route to the service of the instance.
func typedRoute(name, host string, priority int) snapshot.Route {
	return snapshot.TypedRoute{
		Name: name, Host: host, PathPrefix: "/", Repeatable: true, TimeoutMillis: 10000, TargetLatencyMillis: 5000,
		MaxAttempts: 2, Priority: priority, Targets: []snapshot.WeightedService{{Service: "data", Weight: 1}},
	}.Compile()
}

// startNodeOf is startNode for the instance and the routes. The metrics are registered unless registerer is nil.
func startNodeOf(c *qt.C, emulated *instance.Instance, registerer prometheus.Registerer, routes ...snapshot.Route) (node *dataplane.Node, callers string) {
	backend, err := emulated.Start()
	c.Assert(err, qt.IsNil)
	c.Cleanup(emulated.Close)
	document, err := snapshot.NewDocument(snapshot.Content{Revision: 1})
	c.Assert(err, qt.IsNil)
	built, err := snapshot.New(document.Version(), routes, []snapshot.Service{{Name: "data"}}, nil)
	c.Assert(err, qt.IsNil)
	built = built.WithFleet(document.Version(), snapshot.Content{Instances: []snapshot.Instance{
		{Name: "i-1", Service: "data", Address: backend, Slots: 4, State: snapshot.InstanceReady},
	}})
	node, err = dataplane.New(dataplane.Options{
		Mechanisms: mechanism.All(),
		Names:      message.Names{RequestID: instance.HeaderID, ExpectInstance: instance.HeaderExpect, Stamp: instance.HeaderStamp},
		Snapshots:  fixedSource{built}, Service: "data", Backend: backend, Slots: 4,
		Budget: budget.Options{Ratio: 1, Slack: 10, Window: time.Second},
		Limits: server.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute},
		Logger: logging.Discard(), Registerer: registerer,
	})
	c.Assert(err, qt.IsNil)
	outbound, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	inbound, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx, outbound, inbound) }()
	c.Cleanup(func() {
		node.Close()
		cancel()
		c.Check(<-ended, qt.IsNil)
	})
	return node, outbound.Addr().String()
}

// TestDrainAnswersPartiallyReadRequest: a request whose first part came before the listener
// closed gets an answer before the drain ends. The connection must not be closed while the
// request is read or the instance works on it.
func TestDrainAnswersPartiallyReadRequest(t *testing.T) {
	c := qt.New(t)
	node, callers := startNode(c)
	conn, err := net.Dial("tcp", callers)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(text string) {
		_, err := io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
	}
	request := "GET /x HTTP/1.1\r\nHost: h.example\r\n" + instance.HeaderID + ": %s\r\n\r\n"
	first := fmt.Sprintf(request, "first")
	send(first + first[:20]) // the answer to the first shows that the second is being read
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)

	stopped := make(chan error, 1)
	go func() {
		err := node.Drain(context.Background())
		node.Close()
		stopped <- err
	}()
	for { // wait until the listener is closed
		probe, err := net.Dial("tcp", callers)
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		if err == nil {
			_ = probe.Close()
		}
	}
	send(first[20:])
	response, err = http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	// The sidecar of the only instance drains, so the request is refused.
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(<-stopped, qt.IsNil)
}

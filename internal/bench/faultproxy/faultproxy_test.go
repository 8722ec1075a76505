package faultproxy_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/emulator/backend"
)

// TestFaults checks what each fault does to a call, and that calls succeed after Heal.
func TestFaults(t *testing.T) {
	instance := backend.New(backend.Options{Name: "b"})
	qt.Assert(t, instance.Start("127.0.0.1:0"), qt.IsNil)
	t.Cleanup(instance.Kill)
	proxy, err := faultproxy.New("hop", "127.0.0.1:0", instance.Address())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(proxy.Close)
	send := func(id string, timeout time.Duration) load.Class {
		call := load.Call{ID: id, Method: http.MethodPost, Host: "b", Path: backend.PathEcho, BodyBytes: 5000, Timeout: timeout}
		return load.Send(&http.Transport{DisableKeepAlives: true}, proxy.Address(), call, time.Now()).Class
	}
	for _, row := range []struct {
		name    string
		fault   faultproxy.Fault
		class   load.Class
		started int
	}{
		{"reset-towards-server", faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsServer}, load.Unknown, 0},
		{"reset-towards-client", faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}, load.Unknown, 1},
		{"cut", faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: 2000}, load.Cut, 1},
		{"delay", faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.TowardsClient, Delay: time.Millisecond}, load.Answered, 1},
		{"throttle", faultproxy.Fault{Kind: faultproxy.Throttle, Direction: faultproxy.TowardsClient, BytesPerSecond: 1 << 20}, load.Answered, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			qt.Assert(t, proxy.Inject(row.fault), qt.IsNil)
			qt.Assert(t, send(row.name, 10*time.Second), qt.Equals, row.class)
			qt.Assert(t, instance.Journal().Request(row.name).Started, qt.Equals, row.started)
			proxy.Heal(context.Background())
			qt.Assert(t, send(row.name+"-healed", 10*time.Second), qt.Equals, load.Answered)
		})
	}
	proxy.Refuse()
	qt.Assert(t, send("refused", 10*time.Second), qt.Equals, load.NotRun)
	qt.Assert(t, proxy.Accept(), qt.IsNil)
	qt.Assert(t, send("accepted", 10*time.Second), qt.Equals, load.Answered)
}

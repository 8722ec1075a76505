package app

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// startBehindProxies runs the nodes. The sidecars of instances of data get requests through
// the returned proxies. A proxy falls silent after the first report of progress.
func (r *storeHarness) startBehindProxies() (proxies []*faultproxy.StallingProxy) {
	for i, m := range r.machines {
		configured := r.settings(i, r.url)
		if m.service == "data" {
			configured.Inbound.Listen = fmt.Sprintf("%s:%d", m.ip, freePorts(r.c, 1)[0])
			var (
				proxy *faultproxy.StallingProxy
				err   error
			)
			proxy, err = faultproxy.NewStallingProxy(fmt.Sprintf("%s:%d", m.ip, r.inbound), configured.Inbound.Listen, func(piece []byte) {
				if bytes.Contains(piece, []byte("102 Processing")) {
					proxy.StallOpenConnections()
				}
			})
			r.c.Assert(err, qt.IsNil)
			r.c.Cleanup(proxy.Close)
			proxies = append(proxies, proxy)
		}
		r.startWith(i, configured)
	}
	r.awaitReady()
	return proxies
}

// TestStoreConnectionFallsSilentInARequest has the connection between two nodes fall silent
// without a reset while an instance works on a request. Without reports of progress, the
// request would hang until its deadline although another instance is free. The node reports
// progress every 0.4 s, and after a second without a report a request that may be repeated
// is sent to another instance. One that may not be repeated is waited for and not resent.
func TestStoreConnectionFallsSilentInARequest(t *testing.T) {
	const deadline = "5000"
	rows := map[string]struct {
		method, path string
		status, runs int
	}{
		"may be repeated": {http.MethodGet, "/read/x", http.StatusOK, 2},
		"may run once":    {http.MethodPost, "/write/x", http.StatusGatewayTimeout, 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mutex sync.Mutex
			begun := false
			var proxies []*faultproxy.StallingProxy
			r := newStoreHarness(t, []string{"front", "data", "data"}, func(_ int, emulated *instance.Instance) {
				emulated.Work = func(_ string, gone <-chan struct{}) {
					mutex.Lock()
					isFirst := !begun
					begun = true
					mutex.Unlock()
					if isFirst {
						if row.runs == 1 { // no progress is requested, which would silence the proxies
							for _, proxy := range proxies {
								proxy.StallOpenConnections()
							}
						}
						<-gone
					}
				}
			})
			proxies = r.startBehindProxies()
			got := r.send(0, row.method, row.path, "stuck", instance.HeaderDeadline, deadline)
			r.c.Check(got.status, qt.Equals, row.status)
			r.c.Check(r.runs("stuck"), qt.HasLen, row.runs)
		})
	}
}

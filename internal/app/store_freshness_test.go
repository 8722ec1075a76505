package app

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// manyRoutes returns further routes of configurationOf. 1000 of them make the store's
// answer about 300 KB.
func manyRoutes(count int) string {
	var routes strings.Builder
	for i := range count {
		fmt.Fprintf(&routes, `,{"name":"more-%d","pathPrefix":"/more-%d/","kind":"safe","timeoutMs":30000,"targetLatencyMs":20000,"priority":1,"service":"data","maxAttempts":2}`, i, i)
	}
	return routes.String()
}

// TestStoreLargeChangeOnASlowLink changes a configuration whose answer takes 1.5 s of
// steady progress. A read that is limited to 0.7 s for the whole answer is cut off and starts
// over with even more to read, so the fleet gets no change for seconds and handles requests by
// replaced configurations. Twenty reads without the change count as stuck.
func TestStoreLargeChangeOnASlowLink(t *testing.T) {
	const (
		routes         = 1000
		bytesPerSecond = 200_000
		tooOften       = 20
	)
	r := newStoreHarness(t, []string{"front"}, nil)
	r.startAll()
	var reads atomic.Int64
	stuck := make(chan struct{})
	r.store.SetFault(func(*http.Request) store.Fault {
		if reads.Add(1) == tooOften {
			close(stuck)
		}
		return store.NoFault
	})
	r.store.SetRate(bytesPerSecond)
	revision := snapshot.Revision(r.store.Put("op/config", fmt.Appendf(nil, configurationOf, 2, manyRoutes(routes))))
	inForce := make(chan struct{})
	go func() {
		r.awaitRevision(revision)
		close(inForce)
	}()
	select {
	case <-inForce:
	case <-stuck:
		r.store.SetRate(0) // lets the read end
		<-inForce
		qt.New(t).Fatalf("%d reads of the store did not bring a change of %d routes", reads.Load(), routes)
	}
}

package storesoak

import (
	"fmt"
	"sync"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

// The routes that exist from the start, and the prefix of those added later.
const (
	host      = "soak.example"
	pathRead  = "/read/"
	pathWrite = "/write/"
	// pathCheck is called by the instances of serviceRead.
	pathCheck   = "/check/"
	routeMillis = 2000
)

// catalog is the configuration that operators wrote. Routes are only added, so that
// a node that served one and then answers 404 has gone back.
type catalog struct {
	mutex sync.Mutex
	added int
}

func newCatalog() *catalog { return &catalog{} }

// addedPath is the path of the route added by change number n, from 1 on.
func addedPath(n int) string { return fmt.Sprintf("/added-%d/", n) }

// changes returns how many routes were added.
func (c *catalog) changes() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.added
}

// add adds routes and returns the number of the last.
func (c *catalog) add(routes int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.added += routes
	return c.added
}

// document is the configuration as it stands.
func (c *catalog) document() store.Configuration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	paths := []store.Route{
		newRoute("read", pathRead, store.KindSafe, serviceRead),
		newRoute("write", pathWrite, store.KindUnsafe, serviceWrite),
		newRoute("check", pathCheck, store.KindSafe, serviceWrite),
	}
	for n := 1; n <= c.added; n++ {
		paths = append(paths, newRoute(fmt.Sprint("added-", n), addedPath(n), store.KindSafe, serviceRead))
	}
	return store.Configuration{
		Version:      c.added + 1,
		Services:     []store.Service{{Name: serviceFront}, {Name: serviceRead}, {Name: serviceWrite}},
		Limits:       store.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 15000},
		VirtualHosts: []store.VirtualHost{{Host: host, Paths: paths}},
	}
}

func newRoute(name, prefix, kind, to string) store.Route {
	return store.Route{
		Name: name, PathPrefix: prefix, Kind: kind, TimeoutMs: routeMillis, TargetLatencyMs: routeMillis / 4,
		Priority: 1, Service: to, MaxAttempts: 2,
	}
}

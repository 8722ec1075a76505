package app

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// tenantsConfiguration is the format of a configuration with tenants and a route for anonymous
// requests. Its arguments are the version and the tenants.
const tenantsConfiguration = `{"version":%d,"services":[{"name":"front"},{"name":"data"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":60000,"idleTimeoutMs":60000},
 "tenants":[%s],
 "virtualHosts":[{"host":"h.example","paths":[
  {"name":"read","pathPrefix":"/read/","kind":"safe","timeoutMs":30000,"targetLatencyMs":20000,"priority":1,"service":"data","maxAttempts":2},
  {"name":"open","pathPrefix":"/open/","kind":"safe","timeoutMs":30000,"targetLatencyMs":20000,"priority":1,"service":"data","maxAttempts":2,"allowAnonymous":true}]}]}`

const headerAuthorization = "Authorization"

// Keys that must not be found in anything that the processes write.
const (
	firstKey   = "k1-marked-secret"
	secondKey  = "k2-marked-secret"
	unknownKey = "k3-marked-secret"
)

func tenantEntry(name string, rate float64, keys ...string) string {
	return fmt.Sprintf(`{"name":%q,"apiKeys":["%s"],"ratePerS":%v,"burst":%v}`, name, strings.Join(keys, `","`), rate, rate)
}

// writtenLog collects what a node logs.
type writtenLog struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *writtenLog) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *writtenLog) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// newTenantsHarness starts two nodes that log everything, with the tenants in force.
func newTenantsHarness(t *testing.T, tenants string) (*storeHarness, *writtenLog) {
	r := newStoreHarness(t, []string{"front", "data"}, nil)
	r.store.Put("op/config", fmt.Appendf(nil, tenantsConfiguration, 2, tenants))
	written := &writtenLog{}
	logger := logrus.New()
	logger.SetOutput(written)
	logger.SetLevel(logrus.TraceLevel)
	for i := range r.machines {
		r.startLogging(i, r.settings(i, r.url), logger)
	}
	r.awaitReady()
	return r, written
}

// TestStoreTenants checks that only requests with a known key reach an instance, in the name of the
// tenant that has the key, and that neither keys nor names that callers claim are passed on.
func TestStoreTenants(t *testing.T) {
	r, written := newTenantsHarness(t, tenantEntry("a", 0, firstKey)+","+tenantEntry("b", 0, secondKey))
	c := r.c
	for i, row := range []struct {
		path          string
		authorization string
		status        int
		tenant        []string
	}{
		{"/read/x", "Bearer " + firstKey, http.StatusOK, []string{"a"}},
		{"/read/x", "Bearer " + secondKey, http.StatusOK, []string{"b"}},
		{"/read/x", "Bearer " + unknownKey, http.StatusUnauthorized, nil},
		{"/read/x", unknownKey, http.StatusUnauthorized, nil},
		{"/read/x", "", http.StatusUnauthorized, nil},
		{"/open/x", "", http.StatusOK, nil},
		{"/open/x", "Bearer " + firstKey, http.StatusOK, []string{"a"}},
		{"/open/x", "Bearer " + unknownKey, http.StatusUnauthorized, nil},
	} {
		id := "r-" + strconv.Itoa(i)
		fields := []string{instance.HeaderTenant, "b", "Winchhead-tenant", "b"}
		if row.authorization != "" {
			fields = append(fields, headerAuthorization, row.authorization)
		}
		got := r.send(0, http.MethodGet, row.path, id, fields...)
		c.Check(got.status, qt.Equals, row.status, qt.Commentf("%d: %s", i, got.body))
		runs := r.runs(id)
		if row.status != http.StatusOK {
			c.Check(runs, qt.HasLen, 0)
			continue
		}
		c.Assert(runs, qt.HasLen, 1)
		c.Check(runs[0].Header[instance.HeaderTenant], qt.DeepEquals, row.tenant, qt.Commentf("%d", i))
		c.Check(runs[0].Header[headerAuthorization], qt.HasLen, 0)
	}
	c.Check(strings.Contains(written.String(), "marked-secret"), qt.IsFalse)
}

// TestStoreRefusesBeforeTheBody checks that a caller whose key is not known is refused without sending its
// body.
func TestStoreRefusesBeforeTheBody(t *testing.T) {
	r, _ := newTenantsHarness(t, tenantEntry("a", 0, firstKey))
	c := r.c
	conn, err := net.Dial("tcp", net.JoinHostPort(r.machines[0].ip, strconv.Itoa(r.outbound)))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /read/x HTTP/1.1\r\nHost: h.example\r\n%s: r\r\n%s: Bearer %s\r\nContent-Length: 100000\r\n\r\n",
		instance.HeaderID, headerAuthorization, unknownKey)
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusUnauthorized)
}

// TestStoreKeyChanges checks that a revoked key and a new one take effect at all nodes with the
// version that changes them, that a key may pass to another tenant, and that a version in which two
// tenants have one key is refused as a whole.
func TestStoreKeyChanges(t *testing.T) {
	r, written := newTenantsHarness(t, tenantEntry("a", 0, firstKey)+","+tenantEntry("b", 0, secondKey))
	c := r.c
	statusOf := func(index int, key string) int {
		return r.send(index, http.MethodGet, "/read/x", "r", headerAuthorization, "Bearer "+key).status
	}
	put := func(version int, tenants string) {
		r.awaitRevision(snapshot.Revision(r.store.Put("op/config", fmt.Appendf(nil, tenantsConfiguration, version, tenants))))
	}
	put(3, tenantEntry("a", 0)+","+tenantEntry("b", 0, secondKey, firstKey))
	for index := range r.machines {
		c.Check(statusOf(index, firstKey), qt.Equals, http.StatusOK)
	}
	runs := r.runs("r")
	c.Check(runs[len(runs)-1].Header[instance.HeaderTenant], qt.DeepEquals, []string{"b"})

	r.store.Put("op/config", fmt.Appendf(nil, tenantsConfiguration, 4, tenantEntry("a", 0, secondKey)+","+tenantEntry("b", 0, secondKey)))
	put(5, tenantEntry("a", 0)+","+tenantEntry("b", 0, unknownKey))
	for index := range r.machines {
		c.Check(statusOf(index, firstKey), qt.Equals, http.StatusUnauthorized)
		c.Check(statusOf(index, secondKey), qt.Equals, http.StatusUnauthorized)
		c.Check(statusOf(index, unknownKey), qt.Equals, http.StatusOK)
	}
	put(6, "")
	for index := range r.machines {
		c.Check(statusOf(index, unknownKey), qt.Equals, http.StatusUnauthorized)
	}
	c.Check(strings.Contains(written.String(), "marked-secret"), qt.IsFalse)
}

// TestStoreBelowTheQuota checks that no request below a tenant's quota is refused, at whichever node it
// starts: most of them need a token from another node.
func TestStoreBelowTheQuota(t *testing.T) {
	// The bucket of a node that has just become an owner begins empty, and fills within a millisecond.
	const rate, requests = 1_000_000, 50
	r, _ := newTenantsHarness(t, tenantEntry("a", rate, firstKey))
	c := r.c
	until(func() bool {
		return r.send(0, http.MethodGet, "/read/x", "first", headerAuthorization, "Bearer "+firstKey).status == http.StatusOK
	})
	refused := 0
	for i := range requests {
		if got := r.send(i%2, http.MethodGet, "/read/x", "a-"+strconv.Itoa(i), headerAuthorization, "Bearer "+firstKey); got.status != http.StatusOK {
			refused++
			c.Logf("%d: %d %s", i, got.status, got.body)
		}
	}
	c.Check(refused, qt.Equals, 0)
}

// TestStoreQuota checks that requests beyond a tenant's quota are refused at once with a time to
// come back, at whichever node they start, and that another tenant is not affected.
func TestStoreQuota(t *testing.T) {
	const rate = 0.001 // no token comes back during the test
	r, _ := newTenantsHarness(t, `{"name":"a","apiKeys":["`+firstKey+`"],"ratePerS":0.001,"burst":3},`+tenantEntry("b", 0, secondKey))
	c := r.c
	served := 0
	for i := range 20 {
		id := "a-" + strconv.Itoa(i)
		got := r.send(i%2, http.MethodGet, "/read/x", id, headerAuthorization, "Bearer "+firstKey)
		if got.status == http.StatusOK {
			served++
			continue
		}
		c.Check(got.status, qt.Equals, http.StatusTooManyRequests)
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		c.Check(err, qt.IsNil)
		c.Check(wait > 0, qt.IsTrue)
		c.Check(r.runs(id), qt.HasLen, 0)
	}
	c.Check(served <= 3, qt.IsTrue, qt.Commentf("%d served of a burst of 3 at %v a second", served, rate))
	c.Check(r.send(0, http.MethodGet, "/read/x", "b", headerAuthorization, "Bearer "+secondKey).status, qt.Equals, http.StatusOK)
}

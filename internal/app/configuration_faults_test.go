package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// faultyConfiguration is the format of a configuration with a good route, one with a shorter prefix, and
// further services, tenants, routes of the host and hosts.
const faultyConfiguration = `{"version":%s,"services":[{"name":"good"},{"name":"other"}%s],
 "limits":{"maxHeaderBytes":16384%s},%s
 "virtualHosts":[{"host":"h.example","paths":[
  {"name":"good","pathPrefix":"/good/","kind":"safe","timeoutMs":1000,"priority":1,"service":"good","maxAttempts":2},
  {"name":"shorter","pathPrefix":"/a/","kind":"safe","timeoutMs":1000,"priority":1,"service":"other","maxAttempts":2}%s]}%s]}`

// form is one odd value of a configuration, in the part of it that holds the value.
type form struct {
	version, services, limits, tenants, routes, hosts string
	// path is that of a request for the odd route, of the host h.example unless host is set.
	host, path string
	// want is the service that must get the request; "refused": the route exists and is not served.
	want string
}

func (f form) configuration() []byte {
	if f.version == "" {
		f.version = "7"
	}
	if f.tenants != "" {
		f.tenants = `"tenants":[` + f.tenants + `],`
	}
	return fmt.Appendf(nil, faultyConfiguration, f.version, f.services, f.limits, f.tenants, f.routes, f.hosts)
}

// oddRoute is a route under the prefix of the shorter one, with one more field.
func oddRoute(field string) string {
	return `,{"name":"odd","pathPrefix":"/a/odd/","kind":"safe",` + field + `}`
}

const refused = "refused"

var forms = map[string]form{
	"weight 2.0":               {routes: oddRoute(`"weightedServices":[{"service":"good","weight":2.0}]`), path: "/a/odd/", want: "good"},
	"weight 1e2":               {routes: oddRoute(`"weightedServices":[{"service":"good","weight":1e2}]`), path: "/a/odd/", want: "good"},
	"weight 0.5":               {routes: oddRoute(`"weightedServices":[{"service":"good","weight":0.5}]`), path: "/a/odd/", want: "good"},
	"weight beyond 64 bits":    {routes: oddRoute(`"weightedServices":[{"service":"good","weight":1e30}]`), path: "/a/odd/", want: "good"},
	"weight as a text":         {routes: oddRoute(`"weightedServices":[{"service":"good","weight":"2"}]`), path: "/a/odd/", want: refused},
	"all weights 0":            {routes: oddRoute(`"weightedServices":[{"service":"good","weight":0}]`), path: "/a/odd/", want: refused},
	"no weights":               {routes: oddRoute(`"weightedServices":[]`), path: "/a/odd/", want: refused},
	"no target":                {routes: oddRoute(`"priority":1`), path: "/a/odd/", want: refused},
	"service as a number":      {routes: oddRoute(`"service":7`), path: "/a/odd/", want: refused},
	"unlisted service":         {routes: oddRoute(`"service":"unlisted"`), path: "/a/odd/", want: "unlisted"},
	"priority 1.0":             {routes: oddRoute(`"service":"good","priority":1.0`), path: "/a/odd/", want: "good"},
	"fractional priority":      {routes: oddRoute(`"service":"good","priority":0.5`), path: "/a/odd/", want: "good"},
	"attempts 2.0":             {routes: oddRoute(`"service":"good","maxAttempts":2.0`), path: "/a/odd/", want: "good"},
	"attempts beyond 64 bits":  {routes: oddRoute(`"service":"good","maxAttempts":99999999999999999999`), path: "/a/odd/", want: "good"},
	"kind as a number":         {routes: oddRoute(`"service":"good","kind":5`), path: "/a/odd/", want: "good"},
	"timeout as a text":        {routes: oddRoute(`"service":"good","timeoutMs":"long"`), path: "/a/odd/", want: "good"},
	"regions as a text":        {routes: oddRoute(`"service":"good","allowedRegions":"r"`), path: "/a/odd/", want: refused},
	"a region as a number":     {routes: oddRoute(`"service":"good","allowedRegions":["r",7]`), path: "/a/odd/", want: refused},
	"unknown region":           {routes: oddRoute(`"service":"good","allowedRegions":["nowhere"]`), path: "/a/odd/", want: "good"},
	"route name with a space":  {routes: `,{"name":"a route","pathPrefix":"/a/odd/","service":"good"}`, path: "/a/odd/", want: "good"},
	"route name with a slash":  {routes: `,{"name":"a/b","pathPrefix":"/a/odd/","service":"good"}`, path: "/a/odd/", want: "good"},
	"route name beyond ASCII":  {routes: `,{"name":"señal\n","pathPrefix":"/a/odd/","service":"good"}`, path: "/a/odd/", want: "good"},
	"route without a name":     {routes: `,{"pathPrefix":"/a/odd/","service":"good"}`, path: "/a/odd/", want: "good"},
	"route name as a number":   {routes: `,{"name":7,"pathPrefix":"/a/odd/","service":"good"}`, path: "/a/odd/", want: "good"},
	"long route name":          {routes: `,{"name":"` + strings.Repeat("n", 5000) + `","pathPrefix":"/a/odd/","service":"good"}`, path: "/a/odd/", want: "good"},
	"route name in two hosts":  {hosts: `,{"host":"two.example","paths":[{"name":"good","pathPrefix":"/","service":"other"}]}`, host: "two.example", path: "/x", want: "other"},
	"route name twice":         {routes: `,{"name":"good","pathPrefix":"/a/odd/","service":"other"}`, path: "/a/odd/", want: "other"},
	"host twice":               {hosts: `,{"host":"h.example","paths":[{"name":"odd","pathPrefix":"/a/odd/","service":"good"}]}`, path: "/a/odd/", want: "good"},
	"host with a port":         {hosts: `,{"host":"p.example:8443","paths":[{"name":"odd","pathPrefix":"/","service":"good"}]}`, host: "p.example:8443", path: "/x", want: "good"},
	"host in upper case":       {hosts: `,{"host":"P.Example.","paths":[{"name":"odd","pathPrefix":"/","service":"good"}]}`, host: "p.example", path: "/x", want: "good"},
	"IPv6 host":                {hosts: `,{"host":"[::1]","paths":[{"name":"odd","pathPrefix":"/","service":"good"}]}`, host: "[::1]:80", path: "/x", want: "good"},
	"empty host":               {hosts: `,{"host":"","paths":[{"name":"odd","pathPrefix":"/","service":"good"}]}`, host: "x.example", path: "/x"},
	"host as a number":         {hosts: `,{"host":7,"paths":[{"name":"odd","pathPrefix":"/","service":"good"}]}`, host: "x.example", path: "/x"},
	"entry of a host missing":  {hosts: `,null,7`, host: "x.example", path: "/x"},
	"paths as an object":       {hosts: `,{"host":"p.example","paths":{}}`, host: "p.example", path: "/x", want: refused},
	"prefix without end":       {routes: `,{"name":"odd","pathPrefix":"/a/odd","service":"good"}`, path: "/a/odd/x", want: "good"},
	"prefix without end, word": {routes: `,{"name":"odd","pathPrefix":"/a/odd","service":"good"}`, path: "/a/oddly", want: "other"},
	"prefix without start":     {routes: `,{"name":"odd","pathPrefix":"a/odd/","service":"good"}`, path: "/a/odd/", want: refused},
	"prefix with empty part":   {routes: `,{"name":"odd","pathPrefix":"/a//odd/","service":"good"}`, path: "/a//odd/x", want: "good"},
	"prefix of two slashes":    {routes: `,{"name":"odd","pathPrefix":"//odd/","service":"good"}`, path: "//odd/x", want: "good"},
	"prefix as a number":       {routes: `,{"name":"odd","pathPrefix":7,"service":"good"}`, path: "/elsewhere", want: refused},
	"no prefix":                {routes: `,{"name":"odd","service":"good"}`, path: "/elsewhere", want: refused},
	"a number as route":        {routes: `,7`, path: "/elsewhere", want: refused},
	"prefix twice":             {routes: `,{"name":"odd","pathPrefix":"/a/","service":"good"}`, path: "/a/x", want: "other"},
	"prefix twice, access":     {routes: `,{"name":"odd","pathPrefix":"/a/","service":"other","allowedRegions":["r"]}`, path: "/a/x", want: refused},
	"service with a space":     {services: `,{"name":"a b"}`, routes: oddRoute(`"service":"a b"`), path: "/a/odd/", want: "a b"},
	"service beyond ASCII":     {services: `,{"name":"añil/1"}`, routes: oddRoute(`"service":"añil/1"`), path: "/a/odd/", want: "añil/1"},
	"service without a name":   {services: `,{}`, path: "/a/x", want: "other"},
	"service twice":            {services: `,{"name":"other","maxConnections":9}`, path: "/a/x", want: "other"},
	"connections 1e2":          {services: `,{"name":"c","maxConnections":1e2}`, path: "/a/x", want: "other"},
	"connections as a text":    {services: `,{"name":"c","maxConnections":"9"}`, path: "/a/x", want: "other"},
	"health path as a number":  {services: `,{"name":"c","healthPath":7}`, path: "/a/x", want: "other"},
	"a number as service":      {services: `,7`, path: "/a/x", want: "other"},
	"version 7.0":              {version: "7.0", path: "/a/x", want: "other"},
	"version beyond 64 bits":   {version: "99999999999999999999", path: "/a/x", want: "other"},
	"negative version":         {version: "-1", path: "/a/x", want: "other"},
	"version as a text":        {version: `"7"`, path: "/a/x", want: "other"},
	"negative limit":           {limits: `,"maxBodyBytes":-1`, path: "/a/x", want: "other"},
	"fractional limit":         {limits: `,"maxBodyBytes":1000.5`, path: "/a/x", want: "other"},
	"limit as a text":          {limits: `,"idleTimeoutMs":"long"`, path: "/a/x", want: "other"},
	"tenant with a space":      {tenants: `{"name":"a b","apiKeys":["k"]}`, path: "/a/x", want: "other"},
	"tenant without a name":    {tenants: `{"apiKeys":["k"]}`, path: "/a/x", want: "other"},
	"tenant twice":             {tenants: `{"name":"a","apiKeys":["k"]},{"name":"a","apiKeys":["l"],"priority":1}`, path: "/a/x", want: "other"},
	"key of two tenants":       {tenants: `{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k","l"]}`, path: "/a/x", want: "other"},
	"key as a number":          {tenants: `{"name":"a","apiKeys":["k",7]}`, path: "/a/x", want: "other"},
	"negative rate":            {tenants: `{"name":"a","apiKeys":["k"],"ratePerS":-1}`, path: "/a/x", want: "other"},
	"tenant with odd priority": {tenants: `{"name":"a","apiKeys":["k"],"priority":-1},{"name":"b","priority":0.5}`, path: "/a/x", want: "other"},
	"a number as tenant":       {tenants: `7`, path: "/a/x", want: "other"},
}

// TestOneFaultCostsOneResource checks that a value which cannot be used costs no more than the resource that
// holds it, and that a route which cannot be used keeps its requests from the route with a shorter prefix.
// If the whole configuration were refused, the one before would stay in force for good.
func TestOneFaultCostsOneResource(t *testing.T) {
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			current, err := policy.Compile(readDocument(t, form.configuration()), &membership.View{})
			c.Assert(err, qt.IsNil)
			good := current.Lookup(http.MethodGet, "h.example", "/good/x", nil)
			c.Assert(good, qt.IsNotNil)
			c.Check(good.Unusable, qt.IsFalse)
			c.Check(good.Targets, qt.DeepEquals, []snapshot.WeightedService{{Service: "good", Weight: 1}})
			host := form.host
			if host == "" {
				host = "h.example"
			}
			odd := current.Lookup(http.MethodGet, host, form.path, nil)
			switch form.want {
			case "":
				c.Check(odd, qt.IsNil)
			case refused:
				c.Assert(odd, qt.IsNotNil)
				c.Check(odd.Unusable, qt.IsTrue)
				c.Check(odd.Fault, qt.Not(qt.Equals), "")
			default:
				c.Assert(odd, qt.IsNotNil)
				c.Check(odd.Unusable, qt.IsFalse)
				c.Check(odd.Targets[0].Service, qt.Equals, form.want)
			}
		})
	}
}

// TestUnclearAccessIsDenied checks that what decides about access fails closed: a key that two tenants have,
// or that is not a text, opens nothing, and a tenant whose entry is unclear is not served.
func TestUnclearAccessIsDenied(t *testing.T) {
	for name, row := range map[string]struct {
		tenants            string
		accepted, unusable []string // keys
	}{
		"key of two tenants": {tenants: `{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k","l"]}`, accepted: []string{"l"}},
		"key as a number":    {tenants: `{"name":"a","apiKeys":["k",7]}`, accepted: []string{"k"}},
		"keys as a text":     {tenants: `{"name":"a","apiKeys":"k"}`},
		"no name":            {tenants: `{"apiKeys":["k"]},{"name":"b","apiKeys":["l"]}`, accepted: []string{"l"}, unusable: []string{"k"}},
		"regions as a text":  {tenants: `{"name":"a","apiKeys":["k"],"allowedRegions":"r"}`, unusable: []string{"k"}},
		"a region missing":   {tenants: `{"name":"a","apiKeys":["k"],"allowedRegions":[null]}`, unusable: []string{"k"}},
		"listed twice":       {tenants: `{"name":"a","apiKeys":["k"]},{"name":"a","apiKeys":["l"],"allowedRegions":["r"]}`, unusable: []string{"k", "l"}},
		"the same twice":     {tenants: `{"name":"a","apiKeys":["k"]},{"name":"a","apiKeys":["k"]}`, accepted: []string{"k"}},
		"not a tenant":       {tenants: `"k",["k"]`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			current, err := policy.Compile(readDocument(t, form{tenants: row.tenants}.configuration()), &membership.View{})
			c.Assert(err, qt.IsNil)
			c.Check(current.RequiresKeys(), qt.IsTrue)
			var accepted, unusable []string
			for _, key := range []string{"", "7", "k", "l"} {
				switch tenant := current.TenantOfKey(snapshot.DigestKey(key)); {
				case tenant != nil && tenant.Unusable:
					unusable = append(unusable, key)
				case tenant != nil:
					accepted = append(accepted, key)
				}
			}
			c.Check(accepted, qt.DeepEquals, row.accepted)
			c.Check(unusable, qt.DeepEquals, row.unusable)
		})
	}
}

// TestFaultsDoNotAddUp draws several of the forms at once: no combination may cost the good route.
func TestFaultsDoNotAddUp(t *testing.T) {
	names := make([]string, 0, len(forms))
	for name := range forms {
		names = append(names, name)
	}
	rapid.Check(t, func(t *rapid.T) {
		combined := form{}
		for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 2, 8).Draw(t, "forms") {
			drawn := forms[name]
			combined.services += drawn.services
			combined.limits += drawn.limits
			combined.routes += drawn.routes
			combined.hosts += drawn.hosts
			if drawn.tenants != "" && combined.tenants != "" {
				combined.tenants += ","
			}
			combined.tenants += drawn.tenants
		}
		current, err := policy.Compile(readDocument(t, combined.configuration()), &membership.View{})
		if err != nil {
			t.Fatalf("not in force: %v", err)
		}
		good := current.Lookup(http.MethodGet, "h.example", "/good/x", nil)
		if good == nil || good.Unusable || good.Targets[0].Service != "good" {
			t.Fatalf("the good route is not in force: %+v", good)
		}
	})
}

// TestStoreUnusableRouteIsRefused checks at every node that requests for a route or of a tenant which cannot
// be used are refused as not run, before their body is read, and that odd names of routes, services and
// tenants survive the way from node to node.
func TestStoreUnusableRouteIsRefused(t *testing.T) {
	const service, tenant = "datos ñ;1", "cliente %/;\n"
	r := newStoreHarness(t, []string{"front", service}, nil)
	r.startAll()
	configuration := fmt.Sprintf(`{"version":2,"services":[{"name":"front"},{"name":%q}],
	 "tenants":[{"name":%q,"apiKeys":["k"]},{"name":"closed","apiKeys":["l"],"allowedRegions":7}],
	 "virtualHosts":[{"host":"h.example","paths":[
	  {"name":"name with spaces\u0007","pathPrefix":"/read/","kind":"safe","timeoutMs":30000,"service":%q},
	  {"name":"odd","pathPrefix":"/read/odd/","kind":"safe","timeoutMs":30000,"service":%q,"allowedRegions":"r"}]}]}`, service, tenant, service, service)
	r.awaitRevision(snapshot.Revision(r.store.Put("op/config", []byte(configuration))))
	for node := range r.machines {
		for _, row := range []struct {
			path, key string
			status    int
		}{
			{"/read/x", "k", http.StatusOK}, {"/read/odd/x", "k", http.StatusServiceUnavailable},
			{"/read/x", "l", http.StatusServiceUnavailable}, {"/read/x", "", http.StatusUnauthorized}, {"/read/odd/x", "", http.StatusUnauthorized},
		} {
			var header []string
			if row.key != "" {
				header = []string{headerAuthorization, "Bearer " + row.key}
			}
			got := r.send(node, http.MethodGet, row.path, fmt.Sprintf("%d-%s-%s", node, row.path, row.key), header...)
			r.c.Check(got.status, qt.Equals, row.status, qt.Commentf("node %d: %+v", node, row))
			r.c.Check(got.header.Get(instance.HeaderStamp) != "", qt.Equals, row.status == http.StatusOK)
			r.c.Check(got.header.Get("Retry-After") != "", qt.Equals, row.status == http.StatusServiceUnavailable)
		}
	}
}

package policy_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// readyCounts is a fleet with the given number of ready instances of each service,
// whichever zone is asked for.
type readyCounts map[string]int

func (r readyCounts) ReadyInstances(service, _ string) int { return r[service] }

func document(t testing.TB, programs ...string) *snapshot.Document {
	content := snapshot.Content{
		Revision: 7,
		Services: []snapshot.Service{{Name: "reservas"}, {Name: "pacientes"}},
		Secrets:  []snapshot.Secret{{Name: "token", Value: "hunter2"}},
	}
	for i, program := range programs {
		content.Policies = append(content.Policies, snapshot.Policy{Name: string(rune('a'+i)) + ".star", Program: program})
	}
	document, err := snapshot.NewDocument(content)
	qt.Assert(t, err, qt.IsNil)
	return document
}

func compile(t testing.TB, ready int, programs ...string) *snapshot.Snapshot {
	compiled, err := policy.Compile(document(t, programs...), readyCounts{"reservas": ready})
	qt.Assert(t, err, qt.IsNil)
	return compiled
}

func TestRouteArguments(t *testing.T) {
	c := qt.New(t)
	plain := compile(t, 0, `route(name="plain", to="reservas")`).Routes()[0]
	c.Assert(plain, qt.DeepEquals, snapshot.Route{
		Name: "a/plain", Targets: []snapshot.WeightedService{{Service: "reservas", Weight: 1}},
		PreferZone: true, SpillOver: policy.DefaultSpillOver, Timeout: policy.DefaultTimeout,
		RepeatMethods: policy.DefaultRepeatMethods, MaxAttempts: policy.DefaultAttempts,
	})
	full := compile(t, 0, `
route(
    name = "full", host = "Reservas.Mesh", path = "/bookings", methods = ["GET", "POST"],
    headers = {"x-kind": "urgent"}, to = [target("reservas", weight = 3), "pacientes"],
    timeout = "1500ms", attempts = 1, prefer_zone = False, max_in_flight = 5, max_queued = 6,
    secrets = [secret_header(header = "authorization", secret = "token", prefix = "Bearer ")],
)`).Routes()[0]
	c.Assert(full, qt.DeepEquals, snapshot.Route{
		Name: "a/full",
		Match: snapshot.Match{
			Host: "reservas.mesh", PathPrefix: "/bookings", Methods: []string{"GET", "POST"},
			Headers: map[string]string{"X-Kind": "urgent"},
		},
		Targets: []snapshot.WeightedService{{Service: "reservas", Weight: 3}, {Service: "pacientes", Weight: 1}},
		Timeout: 1500 * time.Millisecond, RepeatMethods: []string{"GET"}, MaxAttempts: 1,
		Limits:  snapshot.Limits{MaxInFlight: 5, MaxQueued: 6},
		Secrets: []snapshot.SecretHeader{{Header: "Authorization", Secret: "token", Prefix: "Bearer "}},
	})
}

func TestLanguage(t *testing.T) {
	compiled := compile(t, 0, `
def reads(name, path, timeout="1s"):
    if path == "/none" or path in ["/never"]:
        return
    route(name="%s-read" % name, path=path, methods=["GET"], to=name, timeout=timeout)

paths = {"reservas": "/bookings"}
paths["pacientes"] = "/patients"
for name in paths:
    reads(name, paths[name])
reads("reservas", "/never")
for number, (path, name) in [[1, ("/a", "a")]] + [[2, ("/b", "b")]]:
    route(name=name, path=path + str(number), to="reservas", timeout=("2s" if number * 2 > 3 else "3s"))
names = [name for name in paths if name.startswith("p")]
names.append("x")
if len(names) != 2 or paths.get("none") != None or not names[-1] == "x" or 7 // 2 + 7 % 2 - 1 != 3:
    fail("unexpected")
`)
	var names []string
	for _, route := range compiled.Routes() {
		names = append(names, route.Name+" "+route.Timeout.String())
	}
	qt.Assert(t, names, qt.ContentEquals, []string{
		"a/reservas-read 1s", "a/pacientes-read 1s", "a/a 3s", "a/b 2s",
	})
}

func TestErrorsHavePositionAndHint(t *testing.T) {
	const r = `route(name="r", to="reservas"`
	for _, test := range []struct{ program, fault string }{
		{"\n  route()", `a.star:2:3: syntax error: .*; correct this line; .*`},
		{"rout()", `a.star:1:1: undefined: rout.*; check the spelling.*`},
		{"x = 1\nroute(name=\"r\")", `a.star:2:6: route: missing argument for to; .*`},
		{r + `, pth="/")`, `a.star:1:6: route: unexpected keyword argument "pth" \(did you mean path\?\); .*`},
		{`route("r", "reservas")`, `a.star:1:6: route\(\) takes named arguments only; .*`},
		{`route(name="r", to="none")`, `a.star:1:6: there is no service "none" in this revision; publish .*`},
		{"def f(s):\n  route(name='r', to=target(s))\nf('none')", `a.star:2:28: there is no service "none".*`},
		{`secret_header(header="A", secret="none")`, `a.star:1:14: there is no secret "none" in this revision; publish .*`},
		{`ready("none")`, `.*no service "none".*`},
		{`ready("reservas", at_least=0)`, `.*at_least 0 is not between 1 and 100000; .*`},
		{`if ready("reservas") >= 2: pass`, `.*1:22: cannot compare a bool with a number \(when .*\); ready\(\) returns True or False; .*`},
		{r + ")\n" + r + ")", `a.star:2:6: route "a/r" is already defined in line 1; .*`},
		{`route(name="a b", to="reservas")`, `.*the route's name "a b" is not.*`},
		{`route(name="r", to=[])`, `.*a route has 0 targets.*`},
		{`route(name="r", to=7)`, `.*to= does not accept a value of type int; .*`},
		{`route(name="r", to=["reservas", target("reservas")])`, `.*service "reservas" is a target twice; .*`},
		{`target("reservas", weight=0)`, `.*weight 0 is not between 1 and 1000; .*`},
		{r + `, host="*.mesh")`, `.*"\*.mesh" is not a valid host name; .*`},
		{r + `, host="a:80")`, `.*"a:80" is not a valid host name; .*`},
		{r + `, path="bookings")`, `.*path "bookings" does not start with a slash; write "/bookings"`},
		{r + `, path="/a/../b")`, `.*path "/a/../b" has an empty or a dot segment; .*`},
		{r + `, path="/a/*")`, `.*path "/a/\*" cannot be matched; .*`},
		{r + `, methods=["get"])`, `.*methods= contains an element that is not a method in upper case; the methods are GET, .*`},
		{r + `, methods=["CONNECT"])`, `.*methods= contains an element.*`},
		{r + `, methods=["GET"], repeat=["PUT"])`, `.*repeat= contains PUT, which the route does not match; .*`},
		{r + `, headers={"Host": "x"})`, `.*header Host is reserved for the proxy; .*`},
		{r + `, headers={"X-A": "a\nb"})`, `.*the value of header X-A is not a printable string.*`},
		{r + `, timeout="2")`, `.*timeout "2" is not a duration; write it as.*`},
		{r + `, timeout="2h")`, `.*timeout 2h0m0s is not between 10ms and 1h0m0s; .*`},
		{r + `, timeout="-1s")`, `.*timeout -1s is not between.*`},
		{r + `, attempts=6)`, `.*attempts 6 is not between 1 and 5; .*`},
		{r + `, spill_over=1.5)`, `.*spill_over is not a number above 0 and at most 1; .*`},
		{r + `, spill_over=0.5, prefer_zone=False)`, `.*spill_over= has no effect.*`},
		{r + `, max_in_flight=-1)`, `.*max_in_flight -1 is not between 0 and 100000; .*`},
		{r + `, secrets=["token"])`, `.*secrets= does not accept a value of type string; .*`},
		{r + `, secrets=[secret_header(header=h, secret="token") for h in ["X-A", "x-a"]])`, `.*header X-A is set twice; .*`},
		{`secret_header(header="X", secret="token", prefix="a\r\n")`, `.*the prefix of header X is not printable.*`},
		{`fail("no crew on duty")`, `a.star:1:5: no crew on duty; the policy called fail\(\)`},
		{`x = [1][3]`, `a.star:1:8: list index 3 out of range.*`},
	} {
		_, err := policy.NewPlan(document(t, test.program))
		qt.Check(t, err, qt.ErrorMatches, test.fault, qt.Commentf("%s", test.program))
	}
}

// TestForbiddenSecretHeaders checks that a secret cannot be sent in a header that
// the proxy or the caller sets, or in one whose name is invalid.
func TestForbiddenSecretHeaders(t *testing.T) {
	for _, header := range []string{
		"host", "Content-Length", "transfer-encoding", "Connection", "Upgrade", "TE", "Trailer",
		"Winchhead-Outcome", "winchhead-anything", "Request-Timeout-Ms", "Idempotency-Key",
		"Cookie", "Content-Type", "X-Forwarded-For", "", "X A", "X\r\nHost",
	} {
		_, err := policy.NewPlan(document(t, fmt.Sprintf(`secret_header(header=%q, secret="token")`, header)))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", header))
	}
}

// TestErrorsOfAllPolicies checks that a document is refused with one error for each
// faulty policy.
func TestErrorsOfAllPolicies(t *testing.T) {
	c := qt.New(t)
	_, err := policy.NewPlan(document(t, `route(name="r", to="reservas")`, `nonsense()`, `load("x", "y")`))
	var faults *policy.Errors
	c.Assert(errors.As(err, &faults), qt.IsTrue)
	c.Assert(faults.Faults, qt.HasLen, 2)
	c.Assert(faults.Faults[0].File, qt.Equals, "b.star")
	c.Assert(strings.Count(err.Error(), "\n"), qt.Equals, 1)
}

func TestConflictingRoutePrefixes(t *testing.T) {
	content := document(t, "").Content()
	content.Policies = append(content.Policies, snapshot.Policy{Name: "a"})
	conflicting, err := snapshot.NewDocument(content)
	qt.Assert(t, err, qt.IsNil)
	_, err = policy.NewPlan(conflicting)
	qt.Assert(t, err, qt.ErrorMatches, `a.star:1:1: policies "a" and "a.star" give their routes the same names; rename one of them`)
}

// TestConditions checks which route is in force for different numbers of ready
// instances.
func TestConditions(t *testing.T) {
	c := qt.New(t)
	plan, err := policy.NewPlan(document(t, `
if ready("reservas", at_least=3):
    route(name="three", to="reservas")
elif ready("reservas") and not ready("pacientes", zone="centro"):
    route(name="some", to="reservas")
else:
    route(name="none", to="reservas")
`))
	c.Assert(err, qt.IsNil)
	c.Assert(plan.Conditions(), qt.DeepEquals, []policy.Condition{
		{Service: "pacientes", Zone: "centro", AtLeast: 1}, {Service: "reservas", AtLeast: 1}, {Service: "reservas", AtLeast: 3},
	})
	c.Assert(plan.Conditions()[0].String(), qt.Equals, `ready("pacientes", zone="centro")`)
	for _, test := range []struct {
		reservas, pacientes int
		name                string
	}{{0, 0, "a/none"}, {1, 0, "a/some"}, {2, 1, "a/none"}, {3, 1, "a/three"}} {
		compiled, err := plan.Snapshot(policy.NewCountEvaluator(readyCounts{"reservas": test.reservas, "pacientes": test.pacientes}))
		c.Assert(err, qt.IsNil)
		c.Assert(compiled.Routes(), qt.HasLen, 1)
		c.Assert(compiled.Routes()[0].Name, qt.Equals, test.name)
	}
}

// TestErrorInBranchIndependentOfFleet checks that a fault in a branch is found
// whether or not the fleet leads there, so that all nodes refuse the same documents.
func TestErrorInBranchIndependentOfFleet(t *testing.T) {
	for _, ready := range []int{0, 5} {
		_, err := policy.Compile(document(t, `
if not ready("reservas", at_least=2):
    route(name="r", to="none")
`), readyCounts{"reservas": ready})
		qt.Assert(t, err, qt.ErrorMatches, `a.star:3:10: there is no service "none" in this revision \(when ready\("reservas", at_least=2\) is False\); .*`)
	}
}

// TestReferencePage checks that the examples of the language reference compile.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/POLICIES.md")
	qt.Assert(t, err, qt.IsNil)
	blocks := strings.Split(string(page), "```")
	programs := 0
	for _, block := range blocks {
		if program, ok := strings.CutPrefix(block, "python\n"); ok {
			programs++
			qt.Check(t, compile(t, 0, program).Routes(), qt.HasLen, 2)
		}
	}
	qt.Assert(t, programs, qt.Equals, 1)
}

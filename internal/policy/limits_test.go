package policy_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/policy"
)

// hostile holds programs that try to use unbounded memory or time, or syntax outside
// the language, each with the expected error.
var hostile = []struct{ program, fault string }{
	{`x = "x" * 1000000000`, `operator \* does not support string and int`},
	{"x = [0] * 1000000000", `operator \* does not support list and int`},
	{"x = 'xxxxxxxx'\nfor i in range(60): x = x + x", "a string has more than 1024 bytes"},
	{"x = 'xxxxxxxx'\nfor i in range(60): x = '%s%s' % (x, x)", "a string has more than 1024 bytes"},
	{"x = '%s' % [1]", "cannot format a value of type list"},
	{"x = [0]\nfor i in range(60): x = x + x", "a list has more than 10000 elements"},
	{"x = [0 for i in range(5000)]\nfor i in range(1000): y = x + x", "the policies use more than 16777216 bytes of memory"},
	{"x = 3\nfor i in range(60): x = x * x", "a number has more than 64 bits"},
	{"x = 99999999999999999999", "a number has more than 64 bits"},
	{"x = 1 << 500", "policies do not support operator <<"},
	{"x = []\nfor i in range(400000): x.append([i])", "the policies take more than 500000 steps"},
	{"x = [[] for i in range(400000) for j in range(400000)]", "the policies take more than 500000 steps"},
	{"x = range(1000000000)", `an argument of range\(\) is not a number between .*`},
	{"x = [1]\nfor i in range(7): x = [x, x, x, x, x, x, x, x]\ny = x == x", "the policies take more than 500000 steps"},
	{"x = [1]\nx.append(x)\ny = x == x", "cannot compare a value nested more than 8 levels deep"},
	{"x = ('a', 'b')\nfor i in range(60): x = (x, x)", "a tuple cannot contain a tuple"},
	{"x = (" + strings.Repeat("1,", 300) + ")", "a tuple has more than 16 elements"},
	{"x = {}\nx[4294967296] = 1", "a key is neither a string nor a number between .*"},
	{"x = {(1, 2): 3}", "a key is neither a string nor a number between .*"},
	{"def f():\n  f()\nf()", "function f called recursively"},
	{"def f():\n  def g(): pass", "a function is defined inside another statement"},
	{"def f(*a): pass", "policies do not support this kind of parameter"},
	{"def f(a=[]): pass", "policies do not support this kind of parameter"},
	{"def f():\n  x = [" + strings.Repeat("1,", 1000) + "]", "function f is longer than 1000 expressions"},
	{"f = lambda: 1", "policies do not support lambda"},
	{"while True: pass", "policies do not support while loops"},
	{"load('x', 'y')", "a policy cannot load other files"},
	{"x = 1\nx += 1", `policies do not support operator \+=`},
	{"x = 'abc'[0:2]", "policies do not support slices"},
	{"x = b'1'", "policies do not support byte strings"},
	{"len(*[1])", `policies do not support operator \* here`},
	{"x = 'a'.replace('a', 'b')", "policies do not support method replace"},
	{"print('x')", "policies cannot use the name print"},
	{"x = getattr('a', 'upper')", "policies cannot use the name getattr"},
	{"x = " + strings.Repeat("(", 70) + "1" + strings.Repeat(")", 70), "this is nested more than 64 levels deep"},
	{"x = " + strings.Repeat("(", 60000), "syntax error: excessive nesting"},
	{"x = '" + strings.Repeat("x", 1025) + "'", "a string has more than 1024 bytes"},
	{"for i in range(3000): route(name=str(i), to='reservas')", "the policy defines more than 2000 routes"},
	{"for i in range(1, 1000): ready('reservas', at_least=i)", "the conditions combine in more than 64 ways"},
	{"for i in range(1, 8): x = ready('reservas', at_least=i)", "the conditions combine in more than 64 ways"},
}

func TestHostileProgramsAreRefused(t *testing.T) {
	for _, test := range hostile {
		_, err := policy.NewPlan(document(t, test.program))
		qt.Check(t, err, qt.ErrorMatches, `a.star:\d+:\d+: `+test.fault+`( \(when .*\))?; .*`, qt.Commentf("%.80s", test.program))
	}
}

func TestLimitsApplyToAllPoliciesTogether(t *testing.T) {
	const many = "for i in range(1500): route(name=str(i), to='reservas')"
	_, err := policy.NewPlan(document(t, many, many))
	qt.Assert(t, err, qt.ErrorMatches, `b.star:1:1: the document has more than 2000 routes; .*`)
	const long = "for i in range(100000): pass"
	_, err = policy.NewPlan(document(t, long, long, long, long, long, long))
	qt.Assert(t, err, qt.ErrorMatches, `(?s)[a-f].star:1:\d+: the policies take more than 500000 steps; .*`)
}

// FuzzCompile compiles arbitrary programs. Any that compiles must give the same,
// consistent snapshot each time for any fleet, and no error may contain a secret.
func FuzzCompile(f *testing.F) {
	for _, seed := range hostile {
		f.Add(seed.program)
	}
	f.Add(`
def reads(name, path):
    route(name="%s-read" % name, path=path, methods=["GET"], to=name, timeout="1500ms")
for name, path in [("reservas", "/bookings"), ("pacientes", "/patients")]:
    reads(name, path)
if ready("reservas", at_least=2) and not ready("pacientes", zone="centro"):
    route(name="book", methods=["POST"], attempts=1, to=[target("reservas", weight=3), "pacientes"],
          headers={"X-Kind": "urgent"}, secrets=[secret_header(header="authorization", secret="token")])
`)
	f.Fuzz(func(t *testing.T, program string) {
		if len(program) > 4096 || !isText(program) {
			t.Skip("the program is too long or not valid UTF-8")
		}
		source := document(t, program)
		plan, err := policy.NewPlan(source)
		if err != nil {
			if strings.Contains(err.Error(), "hunter2") && !strings.Contains(program, "hunter2") {
				t.Fatalf("the error contains a secret: %v", err)
			}
			return
		}
		again, err := policy.NewPlan(source)
		qt.Assert(t, err, qt.IsNil)
		for ready := range 4 {
			conditions := policy.NewCountEvaluator(readyCounts{"reservas": ready, "pacientes": 3 - ready})
			first, err := plan.Snapshot(conditions)
			qt.Assert(t, err, qt.IsNil)
			second, err := again.Snapshot(conditions)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, first.SameRoutes(second), qt.IsTrue)
		}
	})
}

func isText(program string) bool { return strings.ToValidUTF8(program, "") == program }

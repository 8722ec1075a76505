package policy_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// readyCounts is a fleet in which each service has as many instances everywhere.
type readyCounts map[string]int

func (r readyCounts) ReadyInstances(service, _ string) int { return r[service] }

func document(c testing.TB, programs ...string) *snapshot.Document {
	content := snapshot.Content{
		Revision: 7,
		Services: []snapshot.Service{{Name: "reservas"}, {Name: "pacientes"}},
		Secrets:  []snapshot.Secret{{Name: "token", Value: "hunter2"}},
	}
	for i, program := range programs {
		content.Policies = append(content.Policies, snapshot.Policy{Name: string(rune('a'+i)) + ".star", Program: program})
	}
	document, err := snapshot.NewDocument(content)
	qt.Assert(c, err, qt.IsNil)
	return document
}

func TestCompileRoute(t *testing.T) {
	c := qt.New(t)
	compiled, err := policy.Compile(document(t, `
def reads(name, path):
    route(name="%s-read" % name, path=path, methods=["GET"], to=name, timeout="1500ms")

for name, path in [("reservas", "/bookings"), ("pacientes", "/patients")]:
    reads(name, path)

if ready("reservas", at_least=2):
    route(name="book", path="/bookings", methods=["POST"], attempts=1, to=[target("reservas", weight=3), "pacientes"],
          secrets=[secret_header(header="authorization", secret="token", prefix="Bearer ")])
`), readyCounts{"reservas": 2})
	c.Assert(err, qt.IsNil)
	c.Assert(compiled.Routes(), qt.HasLen, 3)
	book := compiled.Lookup("POST", "Any.Host:80", "/bookings/7", nil)
	c.Assert(book, qt.IsNotNil)
	c.Assert(book.Name, qt.Equals, "a/book")
	c.Assert(book.Targets, qt.DeepEquals, []snapshot.WeightedService{{Service: "reservas", Weight: 3}, {Service: "pacientes", Weight: 1}})
	c.Assert(book.Secrets, qt.DeepEquals, []snapshot.SecretHeader{{Header: "Authorization", Secret: "token", Prefix: "Bearer "}})
	c.Assert(book.MayRepeat("POST"), qt.IsFalse)
}

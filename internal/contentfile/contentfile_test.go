package contentfile_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/contentfile"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// fleetOf is a fleet that has so many ready instances of every service.
type fleetOf int

func (f fleetOf) ReadyInstances(string, string) int { return int(f) }

func TestExamplesCompile(t *testing.T) {
	for _, example := range []struct {
		name                         string
		routes, slots, connections   int
		method, host, path, expected string
	}{
		{"montevideo", 10, 20, 130, "POST", "reservas.mesh", "/bookings", "reservas/book"},
		{"kerlann", 8, 10, 120, "PUT", "setpoint.mesh", "/setpoints/7", "setpoint-svc/change-setpoints"},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			content, err := contentfile.LoadContent(filepath.Join("..", "..", "examples", example.name, "content.yaml"))
			c.Assert(err, qt.IsNil)
			c.Assert(content.Services, qt.HasLen, 3)
			for _, service := range content.Services {
				c.Assert(service.Slots, qt.Equals, example.slots)
				c.Assert(service.Connections, qt.Equals, example.connections)
			}
			document, err := snapshot.NewDocument(content)
			c.Assert(err, qt.IsNil)
			for _, ready := range []fleetOf{0, 1, 2, 4} {
				compiled, err := policy.Compile(document, ready)
				c.Assert(err, qt.IsNil)
				c.Assert(compiled.Routes(), qt.HasLen, example.routes)
				route := compiled.Lookup(example.method, example.host, example.path, nil)
				c.Assert(route.Name, qt.Equals, example.expected)
				c.Assert(route.RepeatMethods, qt.HasLen, 0)
				c.Assert(route.Secrets, qt.HasLen, 1)
			}
		})
	}
}

func TestLoadContentErrors(t *testing.T) {
	for _, test := range []struct{ name, text, problem string }{
		{"empty", "", `.*content.yaml:1: the file is empty.*`},
		{"invalid YAML", "services:\n\t- a", `.*content.yaml:2: invalid YAML: .*`},
		{"unknown key", "services: []\nroutes: []", `.*content.yaml:2: unknown key "routes"; allowed keys: policies, revision, secrets, services`},
		{"duplicate key", "services: []\nservices: []", `.*content.yaml:2: duplicate key "services"`},
		{"not a list", "services: yes", `.*content.yaml:1: expected a list.*`},
		{"revision 0", "revision: 0", `.*content.yaml:1: revision is 0.*`},
		{"invalid number", "services:\n  - name: a\n    slots: many", `.*content.yaml:3: expected a number`},
		{"no name", "services:\n  - slots: 3", `.*content.yaml:2: this service has no name`},
		{"duplicate service", "services:\n  - name: a\n  - name: a", `.*content.yaml:3: service a is already defined in line 2`},
		{"invalid name", "services:\n  - name: a b", `.*content.yaml: service "a b": a name consists of letters.*`},
		{"missing file", "policies:\n  - none.star", `.*content.yaml:2: policy "none.star" cannot be read: .*`},
		{"file outside the directory", "policies:\n  - ../none.star", `.*content.yaml:2: policy "../none.star" is not below .*`},
		{"secret as list", "secrets:\n  - name: a\n    value: [hunter2]", `.*content.yaml:3: expected a string`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "content.yaml")
			c.Assert(os.WriteFile(path, []byte(test.text), 0o600), qt.IsNil)
			_, err := contentfile.LoadContent(path)
			c.Assert(err, qt.ErrorMatches, test.problem)
		})
	}
}

package snapshot_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

func newDocument(t testing.TB, content snapshot.Content) *snapshot.Document {
	document, err := snapshot.NewDocument(content)
	qt.Assert(t, err, qt.IsNil)
	return document
}

func TestDocumentDoesNotDependOnOrder(t *testing.T) {
	c := qt.New(t)
	one := newDocument(t, snapshot.Content{Revision: 3, Services: []snapshot.Service{{Name: "b"}, {Name: "a", Slots: 2}}})
	other := newDocument(t, snapshot.Content{Revision: 3, Services: []snapshot.Service{{Name: "a", Slots: 2}, {Name: "b"}}})
	c.Assert(one.Version(), qt.Equals, other.Version())
	c.Assert(one.Content(), qt.DeepEquals, other.Content())
	c.Assert(one.Content().Services[0].Name, qt.Equals, "a")
}

func TestNewDocumentErrors(t *testing.T) {
	manyPolicies := make([]snapshot.Policy, snapshot.MaxResourcesPerKind+1)
	for i := range manyPolicies {
		manyPolicies[i].Name = fmt.Sprint("p", i)
	}
	manyServices := make([]snapshot.Service, snapshot.MaxTypedResources+1)
	for i := range manyServices {
		manyServices[i].Name = fmt.Sprint("s", i)
	}
	for _, test := range []struct {
		name    string
		content snapshot.Content
		problem string
	}{
		{"no revision", snapshot.Content{}, "the revision is 0.*"},
		{"no name", snapshot.Content{Revision: 1, Services: make([]snapshot.Service, 1)}, "a service has no name"},
		{"long name", snapshot.Content{Revision: 1, Policies: []snapshot.Policy{{Name: strings.Repeat("x", 64)}}}, "policy .* has 64 bytes, at most 63.*"},
		{"bad name", snapshot.Content{Revision: 1, Policies: []snapshot.Policy{{Name: "-x"}}}, `policy "-x": a name consists of letters.*`},
		{"twice", snapshot.Content{Revision: 1, Services: []snapshot.Service{{Name: "a"}, {Name: "a", Slots: 1}}}, "service a appears twice"},
		{"too many policies", snapshot.Content{Revision: 1, Policies: manyPolicies}, "more than 1000 resources of the kind policy"},
		{"too many services", snapshot.Content{Revision: 1, Services: manyServices}, "more than 20000 resources of the kind service"},
		{"slots", snapshot.Content{Revision: 1, Services: []snapshot.Service{{Name: "a", Slots: -1}}}, `service "a": slots is -1.*`},
		{"long program", snapshot.Content{Revision: 1, Policies: []snapshot.Policy{{Name: "a", Program: strings.Repeat(" ", 64<<10+1)}}}, `policy "a": the program has 65537 bytes.*`},
		{"not UTF-8", snapshot.Content{Revision: 1, Policies: []snapshot.Policy{{Name: "a", Program: "\xff"}}}, `policy "a": the program is not valid UTF-8`},
		{"empty secret", snapshot.Content{Revision: 1, Secrets: []snapshot.Secret{{Name: "a"}}}, `secret "a": the value is empty`},
		{"secret with line", snapshot.Content{Revision: 1, Secrets: []snapshot.Secret{{Name: "a", Value: "hunter\r\n2"}}}, `secret "a": the value contains a control character.*`},
		{"secret with space", snapshot.Content{Revision: 1, Secrets: []snapshot.Secret{{Name: "a", Value: "hunter2 "}}}, `secret "a": the value begins or ends with white space`},
	} {
		t.Run(test.name, func(t *testing.T) {
			document, err := snapshot.NewDocument(test.content)
			qt.Assert(t, err, qt.ErrorMatches, test.problem)
			qt.Assert(t, document, qt.IsNil)
		})
	}
}

func TestApplyRefuses(t *testing.T) {
	base := newDocument(t, snapshot.Content{Revision: 1, Services: []snapshot.Service{{Name: "a"}, {Name: "b"}, {Name: "same"}}})
	target := newDocument(t, snapshot.Content{Revision: 2, Services: []snapshot.Service{{Name: "b", Slots: 4}, {Name: "c"}, {Name: "same"}}})
	key := func(name string) snapshot.Key { return snapshot.Key{Kind: snapshot.KindService, Name: name} }
	for _, test := range []struct {
		name    string
		base    *snapshot.Document
		corrupt func(delta *snapshot.Delta)
		problem string
		is      error
	}{
		{"other base", target, func(*snapshot.Delta) {}, "base 1/.*", snapshot.ErrWrongBase},
		{"no base", nil, func(*snapshot.Delta) {}, "base 1/.*", snapshot.ErrWrongBase},
		{"a part", base, func(d *snapshot.Delta) { d.Changed = d.Changed[:1] }, "got hash .*", snapshot.ErrWrongContent},
		{"not removed", base, func(d *snapshot.Delta) { d.Removed = nil }, "got hash .*", snapshot.ErrWrongContent},
		{"other body", base, func(d *snapshot.Delta) { d.Changed[0].Body = []byte(`{"name":"b"}`) }, "got hash .*", snapshot.ErrWrongContent},
		{"named twice", base, func(d *snapshot.Delta) { d.Removed = append(d.Removed, key("c")) }, "the delta names service c twice", nil},
		{"revision 0", base, func(d *snapshot.Delta) { d.Target.Revision = 0 }, "the revision is 0.*", nil},
		{"as whole", base, func(d *snapshot.Delta) { d.Base = snapshot.Version{} }, "got hash .*", snapshot.ErrWrongContent},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			delta := snapshot.Diff(base, target)
			test.corrupt(&delta)
			document, err := delta.Apply(test.base)
			c.Assert(document, qt.IsNil)
			c.Assert(err, qt.ErrorMatches, test.problem)
			if test.is != nil {
				c.Assert(errors.Is(err, test.is), qt.IsTrue)
			}
		})
	}
}

// TestApplyRefusesOtherEncodings applies bodies that NewDocument would not produce, with a correct
// hash, as a hostile peer could send them.
func TestApplyRefusesOtherEncodings(t *testing.T) {
	for _, test := range []struct{ name, body, problem string }{
		{"spaces", `{"name": "a"}`, "service a: the body is not in canonical form"},
		{"unknown field", `{"name":"a","colour":1}`, "service a: the body cannot be decoded"},
		{"other name", `{"name":"b"}`, "service a: the name in the body differs from the key"},
		{"bad value", `{"name":"a","slots":-1}`, `service "a": slots is -1.*`},
		{"trailing", `{"name":"a"}{}`, "service a: the body is not in canonical form"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			delta := snapshot.Delta{Target: snapshot.Version{Revision: 1}}
			delta.Changed = []snapshot.Resource{{Key: snapshot.Key{Kind: snapshot.KindService, Name: "a"}, Body: []byte(test.body)}}
			delta.Target.Hash = snapshot.HashResources(delta.Changed)
			_, err := delta.Apply(nil)
			c.Assert(err, qt.ErrorMatches, test.problem)
		})
	}
}

func TestFormattingHidesSecrets(t *testing.T) {
	document := newDocument(t, snapshot.Content{Revision: 1, Secrets: []snapshot.Secret{{Name: "a", Value: "hunter2"}}})
	compiled, err := snapshot.New(document.Version(), nil, nil, document.Content().Secrets)
	qt.Assert(t, err, qt.IsNil)
	for _, value := range []any{document, compiled, document.Content(), document.Resources(), snapshot.Diff(nil, document)} {
		for _, verb := range []string{"%v", "%+v", "%#v", "%s"} {
			qt.Assert(t, strings.Contains(fmt.Sprintf(verb, value), "hunter2"), qt.IsFalse)
		}
	}
}

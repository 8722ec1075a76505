package snapshot

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOwnerOfAddress: of the instances listed at one address, the one that started last owns it. An
// instance that restarts under its name keeps the revision at which it was first listed, so start
// times take precedence over revisions if both are known.
func TestOwnerOfAddress(t *testing.T) {
	at := func(name string, startedMillis int64, created Revision) Instance {
		return Instance{Name: name, Service: "s", Address: "10.0.0.1:80", State: InstanceReady, StartedMillis: startedMillis, Created: created}
	}
	for name, row := range map[string]struct {
		listed []Instance
		owner  string
	}{
		"listed later":                       {[]Instance{at("a", 0, 5), at("b", 0, 7)}, "b"},
		"listed earlier, started again":      {[]Instance{at("a", 30, 5), at("b", 20, 7)}, "a"},
		"listed later, started later":        {[]Instance{at("a", 10, 5), at("b", 20, 7)}, "b"},
		"one start is not known":             {[]Instance{at("a", 30, 5), at("b", 0, 7)}, "b"},
		"started in the same millisecond":    {[]Instance{at("a", 30, 8), at("b", 30, 7)}, "a"},
		"three, in any order of their names": {[]Instance{at("a", 20, 5), at("b", 30, 6), at("c", 10, 7)}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			built := newFleet(Content{Instances: row.listed})
			qt.Check(t, built.byAddress["10.0.0.1:80"].Name, qt.Equals, row.owner)
			qt.Check(t, built.byService["s"], qt.HasLen, 1)
		})
	}
}

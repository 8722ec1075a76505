package snapshot

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRevisionOrder: a revision of a later epoch is higher, whatever its number.
func TestRevisionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (epoch, number uint64) {
			return rapid.Uint64Range(0, MaxEpoch).Draw(t, label+" epoch"), rapid.Uint64Range(0, MaxNumber-1).Draw(t, label+" number")
		}
		epochA, numberA := draw("a")
		epochB, numberB := draw("b")
		a, b := NewRevision(epochA, numberA), NewRevision(epochB, numberB)
		later := epochA > epochB || epochA == epochB && numberA > numberB
		if (a > b) != later || a.Epoch() != epochA || a.Number() != numberA {
			t.Fatalf("%s and %s: %d and %d", a, b, a, b)
		}
		if marked := a.withKeptConfiguration(); epochA > 0 && (marked <= a || marked >= a.Next() || !marked.KeepsConfiguration() || marked.Unmarked() != a) {
			t.Fatalf("%s marked is %s", a, marked)
		}
		if again, err := ParseRevision(a.String()); err != nil || again != a {
			t.Fatalf("%s reads as %s, %v", a, again, err)
		}
		// Lists of members are ordered by the revision times 1024, as a signed 64-bit number.
		if uint64(a) > math.MaxInt64/1024 {
			t.Fatalf("%d has no room", a)
		}
	})
}

func TestParseRevision(t *testing.T) {
	for text, want := range map[string]Revision{"7": 7, "0:7": 7, "2:7": NewRevision(2, 7), "2:7+": NewRevision(2, 7).withKeptConfiguration()} {
		revision, err := ParseRevision(text)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, revision, qt.Equals, want)
	}
	for _, text := range []string{"", "x", "-1", "1:", ":1", "1:2:3", "1:x", "16384:1", "274877906944", "7+", "2:7++"} {
		_, err := ParseRevision(text)
		qt.Check(t, err, qt.ErrorMatches, ".*is not a revision.*", qt.Commentf("%q", text))
	}
}

func originDocument(c *qt.C, revision Revision, origin Origin, routes ...string) *Document {
	content := Content{Revision: revision, Origin: origin, Services: []Service{{Name: "a"}}, Instances: []Instance{testInstance("i-1", InstanceReady)}}
	for _, name := range routes {
		content.Routes = append(content.Routes, TypedRoute{Name: name, Host: "h", PathPrefix: "/", Targets: []WeightedService{{Service: "a", Weight: 1}}})
	}
	document, err := NewDocument(content)
	c.Assert(err, qt.IsNil)
	return document
}

// TestWithNewerConfiguration: a configuration is kept only against an older one of another epoch.
// Within an epoch the source's order is followed, and unknown numbers are not compared.
func TestWithNewerConfiguration(t *testing.T) {
	for name, row := range map[string]struct {
		held, read Origin
		kept       bool
	}{
		"older, from a backup":     {Origin{Number: 9, Epoch: 1}, Origin{Number: 7, Epoch: 2}, true},
		"the same, written again":  {Origin{Number: 9, Epoch: 1}, Origin{Number: 9, Epoch: 2}, false},
		"newer":                    {Origin{Number: 9, Epoch: 1}, Origin{Number: 10, Epoch: 2}, false},
		"older, of the same epoch": {Origin{Number: 9, Epoch: 1}, Origin{Number: 7, Epoch: 1}, false},
		"older, two epochs later":  {Origin{Number: 9, Epoch: 1}, Origin{Number: 8, Epoch: 3}, true},
		"a source without numbers": {Origin{Epoch: 1}, Origin{Epoch: 2}, false},
		"a node without origins":   {Origin{Number: 9, Epoch: 1}, Origin{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			held := originDocument(c, NewRevision(1, 90), row.held, "held")
			read := originDocument(c, NewRevision(max(row.read.Epoch, 1), 91), row.read, "read")
			kept, err := read.WithNewerConfiguration(held)
			c.Assert(err, qt.IsNil)
			c.Check(kept.Version().Revision.Unmarked(), qt.Equals, read.Version().Revision)
			c.Check(kept.Version().Newer(read.Version()), qt.Equals, row.kept)
			c.Check(kept.Content().Instances, qt.DeepEquals, read.Content().Instances)
			c.Check(SameRouting(kept, held), qt.Equals, row.kept)
			c.Check(SameRouting(kept, read), qt.Equals, !row.kept)
			c.Check(kept.Version().Revision.KeepsConfiguration(), qt.Equals, row.kept)
			again, err := read.WithNewerConfiguration(kept)
			c.Assert(err, qt.IsNil)
			c.Check(again.Version(), qt.Equals, kept.Version())
			passedOn, err := Diff(nil, kept).Apply(nil)
			c.Assert(err, qt.IsNil)
			c.Check(passedOn.Origin(), qt.Equals, kept.Origin())
		})
	}
	first := originDocument(qt.New(t), 1, Origin{Number: 1}, "r")
	alone, err := first.WithNewerConfiguration(nil)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, alone, qt.Equals, first)
}

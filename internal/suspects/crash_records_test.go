package suspects

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fingerprintOf returns the fingerprint of a request to a path.
func fingerprintOf(path string) Fingerprint { return NewFingerprint("GET", "h", path, nil) }

// crashOf returns a crash with requests to the paths in progress. A leading "*" marks a probe.
func crashOf(id CrashID, after time.Duration, paths ...string) Crash {
	crash := Crash{ID: id, Instance: "i", At: start.Add(after)}
	for _, path := range paths {
		probed := path[0] == '*'
		if probed {
			path = path[1:]
		}
		crash.Requests = append(crash.Requests, Request{Fingerprint: fingerprintOf(path), Probed: probed})
	}
	return crash
}

// TestAssess checks the status that follows from crashes, probes, answers and time.
func TestAssess(t *testing.T) {
	const second = time.Second
	type want = map[string]Standing
	for name, row := range map[string]struct {
		crashes  []Crash
		answered []string
		at       time.Duration
		want     want
	}{
		"no crashes":                        {at: second, want: want{"a": Clear}},
		"every request in progress":         {crashes: []Crash{crashOf(1, 0, "a", "b")}, at: second, want: want{"a": Suspected, "b": Suspected, "c": Clear}},
		"many crashes without a probe":      {crashes: []Crash{crashOf(1, 0, "a"), crashOf(2, 0, "a"), crashOf(3, 0, "a")}, at: second, want: want{"a": Suspected}},
		"an answer clears":                  {crashes: []Crash{crashOf(1, 0, "a", "b")}, answered: []string{"a"}, at: second, want: want{"a": Clear, "b": Suspected}},
		"a probe confirms and explains":     {crashes: []Crash{crashOf(1, 0, "a", "b"), crashOf(2, second, "*a", "c")}, at: 2 * second, want: want{"a": Quarantined, "b": Clear, "c": Clear}},
		"a second probe after a delay":      {crashes: []Crash{crashOf(1, 0, "a"), crashOf(2, 0, "*a")}, at: ProbeAgainAfter, want: want{"a": Suspected}},
		"two crashed probes quarantine":     {crashes: []Crash{crashOf(1, 0, "a"), crashOf(2, 0, "*a"), crashOf(3, ProbeAgainAfter, "*a")}, at: SuspectFor + second, want: want{"a": Quarantined}},
		"a quarantine expires":              {crashes: []Crash{crashOf(2, 0, "*a"), crashOf(3, 0, "*a")}, at: QuarantineFor, want: want{"a": Clear}},
		"an answer ends a quarantine":       {crashes: []Crash{crashOf(1, 0, "a", "b"), crashOf(2, second, "*a")}, answered: []string{"a"}, at: 2 * second, want: want{"a": Clear, "b": Suspected}},
		"suspicion expires":                 {crashes: []Crash{crashOf(1, 0, "a")}, at: SuspectFor, want: want{"a": Clear}},
		"two requests that crash instances": {crashes: []Crash{crashOf(1, 0, "a", "b"), crashOf(2, 0, "*a", "c"), crashOf(3, 0, "*b")}, at: second, want: want{"a": Quarantined, "b": Quarantined, "c": Clear}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			records := NewCrashRecords()
			records.Merge(row.crashes, start)
			for _, path := range row.answered {
				records.Clear(fingerprintOf(path))
			}
			for path, want := range row.want {
				c.Check(records.Assess(fingerprintOf(path), start.Add(row.at)).Standing, qt.Equals, want, qt.Commentf(path))
			}
		})
	}
}

// TestBooksConverge checks that books that merged the same records and answers, in any order
// and some of them twice, give the same assessments.
func TestBooksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paths := []string{"a", "b", "c", "d"}
		path := rapid.SampledFrom(paths)
		replicas := []*CrashRecords{NewCrashRecords(), NewCrashRecords(), NewCrashRecords()}
		var changed []Crash
		for id := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			inProgress := rapid.SliceOfNDistinct(path, 1, 3, func(p string) string { return p }).Draw(t, "paths")
			if rapid.Bool().Draw(t, "probed") {
				inProgress[0] = "*" + inProgress[0]
			}
			at := rapid.IntRange(0, len(replicas)-1).Draw(t, "book")
			changed = append(changed, replicas[at].Merge([]Crash{crashOf(CrashID(id), time.Duration(id)*time.Second, inProgress...)}, start)...)
			if rapid.Bool().Draw(t, "answered") {
				at = rapid.IntRange(0, len(replicas)-1).Draw(t, "answering book")
				changed = append(changed, replicas[at].Clear(fingerprintOf(path.Draw(t, "answered path")))...)
			}
		}
		order := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		for _, records := range replicas {
			for _, at := range append(order.Perm(len(changed)), order.Perm(len(changed))...) {
				records.Merge([]Crash{changed[at]}, start)
			}
		}
		for _, path := range paths {
			first := replicas[0].Assess(fingerprintOf(path), start.Add(10*time.Second))
			for _, records := range replicas[1:] {
				if other := records.Assess(fingerprintOf(path), start.Add(10*time.Second)); other != first {
					t.Fatalf("%s: %+v and %+v", path, first, other)
				}
			}
		}
	})
}

// TestBookIsBounded checks that a full book keeps the records of crashed probes, and that a
// dropped record does not count as new when it arrives again.
func TestBookIsBounded(t *testing.T) {
	c := qt.New(t)
	records := NewCrashRecords()
	records.Merge([]Crash{crashOf(0, 0, "*quarantined"), crashOf(1, 0, "*quarantined")}, start)
	all := []Crash{}
	for i := range 2 * maxCrashes {
		all = append(all, crashOf(CrashID(10+i), time.Duration(i)*time.Millisecond, fmt.Sprint(i)))
	}
	c.Check(len(records.Merge(all, start)) <= maxCrashes, qt.IsTrue)
	c.Check(records.All(start), qt.HasLen, maxCrashes)
	c.Check(records.Assess(fingerprintOf("quarantined"), start.Add(time.Hour)).Standing, qt.Equals, Quarantined)
	c.Check(records.Merge(all, start), qt.HasLen, 0)
	long := crashOf(9000, time.Hour)
	for i := range 2 * MaxRequests {
		long.Requests = append(long.Requests, Request{Fingerprint: fingerprintOf(fmt.Sprint("long", i))})
	}
	merged := records.Merge([]Crash{long}, start)
	c.Assert(merged, qt.HasLen, 1)
	c.Check(merged[0].Requests, qt.HasLen, MaxRequests)
}

// TestTrackerProbes checks that a crash quarantines only a request that was sent as a probe, and
// only if no other suspected request was in progress there.
func TestTrackerProbes(t *testing.T) {
	a, b := fingerprintOf("a"), fingerprintOf("b")
	for name, row := range map[string]struct {
		running []InProgress
		probed  bool
	}{
		"alone":                           {[]InProgress{{a, true}}, true},
		"beside others":                   {[]InProgress{{fingerprintOf("x"), false}, {a, true}, {fingerprintOf("y"), false}}, true},
		"beside a suspected request":      {[]InProgress{{a, true}, {b, false}}, false},
		"beside another probe":            {[]InProgress{{a, true}, {b, true}}, false},
		"started before it was suspected": {[]InProgress{{a, false}}, false},
		"twice, abandoned in between":     {[]InProgress{{a, true}, {a, true}}, true},
		"none of them is suspected":       {[]InProgress{{fingerprintOf("x"), false}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var changed []Crash
			tracker := NewTracker()
			tracker.PublishWith(func(crashes []Crash) { changed = append(changed, crashes...) })
			c.Check(tracker.IsEmpty(), qt.IsTrue)
			tracker.Crashed("i", []InProgress{{a, false}, {b, false}})
			c.Check(tracker.IsEmpty(), qt.IsFalse)
			tracker.Crashed("j", row.running)
			c.Check(tracker.Assess(a).Standing == Quarantined, qt.Equals, row.probed)
			c.Check(changed, qt.HasLen, 2)
			tracker.Clear(a)
			c.Check(tracker.Assess(a).Standing, qt.Equals, Clear)
		})
	}
}

package statement_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
)

var (
	names = message.Names{Limit: "Test-Limit", Leaving: "Test-Leaving"}
	epoch = time.Unix(1000, 0)
)

func limitOf(perSecond float64) statement.Statement {
	return statement.Statement{Limit: statement.Limit{Stated: true, PerSecond: perSecond}}
}

// TestDecode checks that only decimal numbers are limits: a value in any other notation must neither
// set nor end a limit.
func TestDecode(t *testing.T) {
	malformed := statement.Statement{MalformedLimit: true}
	for name, row := range map[string]struct {
		header http.Header
		want   statement.Statement
	}{
		"nothing":       {http.Header{}, statement.Statement{}},
		"limit":         {http.Header{"Test-Limit": {"4.2"}}, limitOf(4.2)},
		"limit of zero": {http.Header{"Test-Limit": {"0"}}, limitOf(0)},
		"large limit":   {http.Header{"Test-Limit": {"10000"}}, limitOf(10000)},
		"no value":      {http.Header{"Test-Limit": {""}}, malformed},
		"negative":      {http.Header{"Test-Limit": {"-1"}}, malformed},
		"not a number":  {http.Header{"Test-Limit": {"NaN"}}, malformed},
		"infinite":      {http.Header{"Test-Limit": {"Inf"}}, malformed},
		"exponent":      {http.Header{"Test-Limit": {"1e999"}}, malformed},
		"hexadecimal":   {http.Header{"Test-Limit": {"0x10"}}, malformed},
		"word":          {http.Header{"Test-Limit": {"many"}}, malformed},
		"comma":         {http.Header{"Test-Limit": {"4,2"}}, malformed},
		"dot alone":     {http.Header{"Test-Limit": {"."}}, malformed},
		"twice":         {http.Header{"Test-Limit": {"4", "5"}}, malformed},
		"leaving":       {http.Header{"Test-Leaving": {"1"}}, statement.Statement{Leaving: true}},
		"not leaving":   {http.Header{"Test-Leaving": {"0"}}, statement.Statement{}},
		"both":          {http.Header{"Test-Limit": {"3"}, "Test-Leaving": {"1"}}, statement.Statement{Limit: statement.Limit{Stated: true, PerSecond: 3}, Leaving: true}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, statement.Decode(names, row.header), qt.Equals, row.want)
		})
	}
}

// TestOvertakenAnswerEndsNoLimit checks that an answer to a request that was in progress when a limit was
// stated neither ends nor raises it: the answer may have been made before.
func TestOvertakenAnswerEndsNoLimit(t *testing.T) {
	c := qt.New(t)
	at := func(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }
	var record statement.Record
	change := record.Observe(limitOf(4), at(0), at(10))
	c.Check(change.Limit, qt.IsTrue)
	c.Check(record.Observe(statement.Statement{}, at(5), at(20)).Limit, qt.IsFalse)
	c.Check(record.Observe(limitOf(9), at(5), at(21)).Limit, qt.IsFalse)
	c.Check(record.Observe(statement.Statement{MalformedLimit: true}, at(30), at(31)).Limit, qt.IsFalse)
	c.Check(record.Limit(), qt.Equals, statement.Limit{Stated: true, PerSecond: 4})
	c.Check(record.Observe(limitOf(2), at(5), at(22)).Limit, qt.IsTrue)
	c.Check(record.Limit().PerSecond, qt.Equals, 2.0)
	c.Check(record.Observe(statement.Statement{}, at(23), at(30)).Limit, qt.IsTrue)
	c.Check(record.Limit().Stated, qt.IsFalse)
}

// TestLeavingIsFinal checks that no later answer takes back that an instance leaves.
func TestLeavingIsFinal(t *testing.T) {
	c := qt.New(t)
	var record statement.Record
	c.Check(record.Observe(statement.Statement{Leaving: true}, epoch, epoch.Add(time.Second)).Leaving, qt.IsTrue)
	c.Check(record.Observe(statement.Statement{}, epoch.Add(2*time.Second), epoch.Add(3*time.Second)).Leaving, qt.IsFalse)
	c.Check(record.IsLeaving(), qt.IsTrue)
}

// TestRecordNeverExceedsTheStatedLimit draws limits that change while requests are in progress, answers
// that are made at any time and arrive in any order. As soon as one answer with the current limit has
// arrived, the record must allow no more than that, and a request that is sent and answered alone must
// bring the record up to date.
func TestRecordNeverExceedsTheStatedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type request struct {
			sent time.Time
			// answer is nil until the answer is made, of which version tells the statement.
			answer  *statement.Statement
			version int
		}
		var record statement.Record
		var inProgress []*request
		now, current, version, heardVersion := epoch, statement.Statement{}, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			action := rapid.IntRange(0, 4).Draw(t, "action")
			if action < 3 && len(inProgress) == 0 {
				action = 4
			}
			switch action {
			case 0, 1: // an answer is made
				each := rapid.SampledFrom(inProgress).Draw(t, "made")
				if each.answer == nil {
					made := current
					each.answer, each.version = &made, version
				}
			case 2: // an answer arrives
				index := rapid.IntRange(0, len(inProgress)-1).Draw(t, "arrives")
				each := inProgress[index]
				if each.answer == nil {
					continue
				}
				inProgress = append(inProgress[:index], inProgress[index+1:]...)
				record.Observe(*each.answer, each.sent, now)
				heardVersion = max(heardVersion, each.version)
				limit := record.Limit()
				if heardVersion == version && current.Limit.Stated && (!limit.Stated || limit.PerSecond > current.Limit.PerSecond) {
					t.Fatalf("the record allows %v, the instance states %v", limit, current.Limit)
				}
			case 3: // the instance states something else
				version++
				current = statement.Statement{}
				if rapid.Bool().Draw(t, "limited") {
					current = limitOf(float64(rapid.IntRange(0, 5).Draw(t, "limit")))
				}
			default:
				inProgress = append(inProgress, &request{sent: now})
			}
		}
		now = now.Add(time.Millisecond)
		record.Observe(current, now, now.Add(time.Millisecond))
		if record.Limit() != current.Limit {
			t.Fatalf("the record has %v, the instance states %v", record.Limit(), current.Limit)
		}
	})
}

// TestTrackerKeepsRecordsOfProcesses checks that a statement holds for one process only, and is kept for
// a while when the process is not listed.
func TestTrackerKeepsRecordsOfProcesses(t *testing.T) {
	c := qt.New(t)
	tracker := statement.NewTracker()
	former, next := snapshot.InstanceID{Name: "i-1", StartedMillis: 1}, snapshot.InstanceID{Name: "i-1", StartedMillis: 2}
	tracker.Observe(former, statement.Statement{Leaving: true}, epoch, epoch)
	c.Check(tracker.Get(former).IsLeaving(), qt.IsTrue)
	c.Check(tracker.Get(next).IsLeaving(), qt.IsFalse)
	c.Check(tracker.Entries(), qt.HasLen, 1)
	unlisted := func(snapshot.InstanceID) bool { return false }
	tracker.Prune(unlisted, epoch.Add(30*time.Second))
	c.Check(tracker.Get(former).IsLeaving(), qt.IsTrue)
	tracker.Prune(unlisted, epoch.Add(2*time.Minute))
	c.Check(tracker.Get(former).IsLeaving(), qt.IsFalse)
}

package repeat_test

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/proxy/repeat"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	limits  = repeat.Limits{MaxKeys: 2, MaxResponseBytes: 10, MaxTotalBytes: 15, Lifetime: time.Minute}
	key     = repeat.Key{Route: "reservas/book", Value: "k"}
	booking = repeat.NewFingerprint("POST", "/bookings", 4, []byte("body"))
)

func begin(c *qt.C, memory repeat.Memory, key repeat.Key, print repeat.Fingerprint) repeat.Claim {
	claim, err := memory.Begin(c.Context(), key, print)
	c.Assert(err, qt.IsNil)
	return claim
}

func TestRepeatOfAnEndedRequest(t *testing.T) {
	small := &repeat.Response{Status: 201, Body: []byte("whole")}
	for _, test := range []struct {
		name        string
		ending      repeat.Ending
		response    *repeat.Response
		after       time.Duration
		fingerprint repeat.Fingerprint
		expected    repeat.Claim
	}{
		{"answered", repeat.EndedDone, small, 0, booking, repeat.Claim{Verdict: repeat.Answered, Response: small}},
		{"answered, just before expiry", repeat.EndedDone, small, time.Minute - 1, booking,
			repeat.Claim{Verdict: repeat.Answered, Response: small}},
		{"answered, key expired", repeat.EndedDone, small, time.Minute, booking, repeat.Claim{Verdict: repeat.First}},
		{"response not kept", repeat.EndedDone, nil, 0, booking, repeat.Claim{Verdict: repeat.Done}},
		{"response too large", repeat.EndedDone, &repeat.Response{Body: make([]byte, 11)}, 0, booking,
			repeat.Claim{Verdict: repeat.Done}},
		{"not run frees the key", repeat.EndedNotRun, nil, 0, booking, repeat.Claim{Verdict: repeat.First}},
		{"not run frees the key for a different request", repeat.EndedNotRun, nil, 0,
			repeat.NewFingerprint("PUT", "/bookings", 4, []byte("body")), repeat.Claim{Verdict: repeat.First}},
		{"unknown keeps the key", repeat.EndedUnknown, nil, 0, booking, repeat.Claim{Verdict: repeat.Lost}},
		{"different method", repeat.EndedDone, small, 0,
			repeat.NewFingerprint("PUT", "/bookings", 4, []byte("body")), repeat.Claim{Verdict: repeat.Conflict}},
		{"different body", repeat.EndedUnknown, nil, 0,
			repeat.NewFingerprint("POST", "/bookings", 4, []byte("else")), repeat.Claim{Verdict: repeat.Conflict}},
		{"different path, same concatenated bytes", repeat.EndedDone, nil, 0,
			repeat.NewFingerprint("POST/", "bookings", 4, []byte("body")), repeat.Claim{Verdict: repeat.Conflict}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := repeat.NewLocal(limits)
				first := begin(c, memory, key, booking)
				c.Assert(first.Verdict, qt.Equals, repeat.First)
				first.Run.End(test.ending, test.response)
				first.Run.End(repeat.EndedNotRun, nil) // no effect: only the first call counts
				time.Sleep(test.after)
				again := begin(c, memory, key, test.fingerprint)
				again.Run = nil
				c.Check(again, qt.Equals, test.expected)
			})
		})
	}
}

func TestRepeatWaitsForTheFirst(t *testing.T) {
	for _, test := range []struct {
		name     string
		act      func(run repeat.Run)
		expected repeat.Verdict
	}{
		{"and gets its response", func(run repeat.Run) { run.End(repeat.EndedDone, &repeat.Response{}) }, repeat.Answered},
		{"and runs if the first did not run", func(run repeat.Run) { run.End(repeat.EndedNotRun, nil) }, repeat.First},
		{"until its own deadline", func(repeat.Run) {}, repeat.Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := repeat.NewLocal(limits)
				first := begin(c, memory, key, booking)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				verdict := make(chan repeat.Verdict)
				go func() {
					claim, _ := memory.Begin(ctx, key, booking)
					verdict <- claim.Verdict
				}()
				synctest.Wait()
				test.act(first.Run)
				c.Check(<-verdict, qt.Equals, test.expected)
			})
		})
	}
}

func TestFullMemoryRefuses(t *testing.T) {
	c := qt.New(t)
	memory := repeat.NewLocal(limits)
	for number := range limits.MaxKeys {
		begin(c, memory, repeat.Key{Value: strconv.Itoa(number)}, booking)
	}
	_, err := memory.Begin(c.Context(), key, booking)
	c.Check(errors.Is(err, repeat.ErrFull), qt.IsTrue)
}

// TestNoKeyRunsTwice runs random sequences of begins and ends: a key whose request
// ended as done or unknown must not run again within its lifetime, and the limits must
// hold.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := repeat.Limits{MaxKeys: 4, MaxResponseBytes: 8, MaxTotalBytes: 12, Lifetime: time.Hour}
		memory := repeat.NewLocal(bounds)
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // a repeat does not wait
		running := map[repeat.Key]repeat.Run{}
		keptKeys := map[repeat.Key]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				key := repeat.Key{Value: strconv.Itoa(rapid.IntRange(0, 6).Draw(t, "key"))}
				claim, err := memory.Begin(ctx, key, booking)
				if (err != nil) != (len(running)+len(keptKeys) == bounds.MaxKeys && running[key] == nil && !keptKeys[key]) {
					t.Fatalf("error %v with %d keys running and %d ended", err, len(running), len(keptKeys))
				}
				if claim.Verdict == repeat.First {
					if running[key] != nil || keptKeys[key] {
						t.Fatalf("key %v runs twice", key)
					}
					running[key] = claim.Run
				}
			},
			"end": func(t *rapid.T) {
				for number := range 7 {
					key := repeat.Key{Value: strconv.Itoa(number)}
					run := running[key]
					if run == nil {
						continue
					}
					ending := rapid.SampledFrom([]repeat.Ending{repeat.EndedNotRun, repeat.EndedDone, repeat.EndedUnknown}).Draw(t, "ending")
					run.End(ending, &repeat.Response{Body: make([]byte, rapid.IntRange(0, 10).Draw(t, "bytes"))})
					delete(running, key)
					if ending != repeat.EndedNotRun {
						keptKeys[key] = true
					}
					break
				}
			},
			"": func(t *rapid.T) {
				if _, bytes := memory.Size(); bytes > bounds.MaxTotalBytes {
					t.Fatalf("responses take %d bytes", bytes)
				}
			},
		})
	})
}

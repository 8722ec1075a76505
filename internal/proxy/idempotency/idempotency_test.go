package idempotency_test

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

	"github.com/winchhead/winchhead/internal/proxy/idempotency"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	limits  = idempotency.Limits{MaxKeys: 2, MaxResponseBytes: 10, MaxTotalBytes: 15, Lifetime: time.Minute}
	key     = idempotency.Key{Route: "reservas/book", Value: "k"}
	booking = idempotency.NewFingerprint("POST", "/bookings", 4, []byte("body"))
)

func begin(c *qt.C, memory idempotency.Memory, key idempotency.Key, print idempotency.Fingerprint) idempotency.Claim {
	claim, err := memory.Begin(c.Context(), key, print)
	c.Assert(err, qt.IsNil)
	return claim
}

func TestRepeatOfAnEndedRequest(t *testing.T) {
	small := &idempotency.Response{Status: 201, Body: []byte("whole")}
	for _, test := range []struct {
		name        string
		ending      idempotency.Ending
		response    *idempotency.Response
		after       time.Duration
		fingerprint idempotency.Fingerprint
		expected    idempotency.Claim
	}{
		{"answered", idempotency.EndedDone, small, 0, booking, idempotency.Claim{Verdict: idempotency.Answered, Response: small}},
		{"answered, just before expiry", idempotency.EndedDone, small, time.Minute - 1, booking,
			idempotency.Claim{Verdict: idempotency.Answered, Response: small}},
		{"answered, key expired", idempotency.EndedDone, small, time.Minute, booking, idempotency.Claim{Verdict: idempotency.First}},
		{"response not kept", idempotency.EndedDone, nil, 0, booking, idempotency.Claim{Verdict: idempotency.Done}},
		{"response too large", idempotency.EndedDone, &idempotency.Response{Body: make([]byte, 11)}, 0, booking,
			idempotency.Claim{Verdict: idempotency.Done}},
		{"not run frees the key", idempotency.EndedNotRun, nil, 0, booking, idempotency.Claim{Verdict: idempotency.First}},
		{"not run frees the key for a different request", idempotency.EndedNotRun, nil, 0,
			idempotency.NewFingerprint("PUT", "/bookings", 4, []byte("body")), idempotency.Claim{Verdict: idempotency.First}},
		{"unknown keeps the key", idempotency.EndedUnknown, nil, 0, booking, idempotency.Claim{Verdict: idempotency.Lost}},
		{"different method", idempotency.EndedDone, small, 0,
			idempotency.NewFingerprint("PUT", "/bookings", 4, []byte("body")), idempotency.Claim{Verdict: idempotency.Conflict}},
		{"different body", idempotency.EndedUnknown, nil, 0,
			idempotency.NewFingerprint("POST", "/bookings", 4, []byte("else")), idempotency.Claim{Verdict: idempotency.Conflict}},
		{"different path, same concatenated bytes", idempotency.EndedDone, nil, 0,
			idempotency.NewFingerprint("POST/", "bookings", 4, []byte("body")), idempotency.Claim{Verdict: idempotency.Conflict}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := idempotency.NewLocal(limits)
				first := begin(c, memory, key, booking)
				c.Assert(first.Verdict, qt.Equals, idempotency.First)
				first.Run.End(test.ending, test.response)
				first.Run.End(idempotency.EndedNotRun, nil) // no effect: only the first call counts
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
		act      func(run idempotency.Run)
		expected idempotency.Verdict
	}{
		{"and gets its response", func(run idempotency.Run) { run.End(idempotency.EndedDone, &idempotency.Response{}) }, idempotency.Answered},
		{"and runs if the first did not run", func(run idempotency.Run) { run.End(idempotency.EndedNotRun, nil) }, idempotency.First},
		{"until its own deadline", func(idempotency.Run) {}, idempotency.Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := idempotency.NewLocal(limits)
				first := begin(c, memory, key, booking)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				verdict := make(chan idempotency.Verdict)
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
	memory := idempotency.NewLocal(limits)
	for number := range limits.MaxKeys {
		begin(c, memory, idempotency.Key{Value: strconv.Itoa(number)}, booking)
	}
	_, err := memory.Begin(c.Context(), key, booking)
	c.Check(errors.Is(err, idempotency.ErrFull), qt.IsTrue)
}

// TestNoKeyRunsTwice runs random sequences of begins and ends: a key whose request
// ended as done or unknown must not run again within its lifetime, and the limits must
// hold.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := idempotency.Limits{MaxKeys: 4, MaxResponseBytes: 8, MaxTotalBytes: 12, Lifetime: time.Hour}
		memory := idempotency.NewLocal(bounds)
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // a repeat does not wait
		running := map[idempotency.Key]idempotency.Run{}
		keptKeys := map[idempotency.Key]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				key := idempotency.Key{Value: strconv.Itoa(rapid.IntRange(0, 6).Draw(t, "key"))}
				claim, err := memory.Begin(ctx, key, booking)
				if (err != nil) != (len(running)+len(keptKeys) == bounds.MaxKeys && running[key] == nil && !keptKeys[key]) {
					t.Fatalf("error %v with %d keys running and %d ended", err, len(running), len(keptKeys))
				}
				if claim.Verdict == idempotency.First {
					if running[key] != nil || keptKeys[key] {
						t.Fatalf("key %v runs twice", key)
					}
					running[key] = claim.Run
				}
			},
			"end": func(t *rapid.T) {
				for number := range 7 {
					key := idempotency.Key{Value: strconv.Itoa(number)}
					run := running[key]
					if run == nil {
						continue
					}
					ending := rapid.SampledFrom([]idempotency.Ending{idempotency.EndedNotRun, idempotency.EndedDone, idempotency.EndedUnknown}).Draw(t, "ending")
					run.End(ending, &idempotency.Response{Body: make([]byte, rapid.IntRange(0, 10).Draw(t, "bytes"))})
					delete(running, key)
					if ending != idempotency.EndedNotRun {
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

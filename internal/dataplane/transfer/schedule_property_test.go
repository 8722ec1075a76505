package transfer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestScheduleKeepsTheRate draws bodies, slow readers, breaks and late wake-ups. It guards against
// grants beyond the rate, bytes that are granted twice, and bodies that never end.
func TestScheduleKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = testLink
		tested, now := newSchedule(rate), testStart
		left := make(map[*body]int)
		var writing []*body
		debt := 0.0 // debt is what was granted beyond the rate
		step := func() {
			next, bytes, again := tested.next(now)
			switch {
			case next != nil:
				if left[next] -= bytes; left[next] < 0 || bytes <= 0 {
					t.Fatalf("granted %d bytes, %d too many", bytes, -left[next])
				}
				writing = append(writing, next)
				debt += float64(bytes)
				if limit := maxLateness.Seconds()*rate + chunkBytes; debt > limit+1 {
					t.Fatalf("%.0f bytes beyond the rate, want at most %.0f", debt, limit)
				}
			case !again.IsZero() && !again.After(now):
				t.Fatalf("nothing granted, asked to come back at once")
			}
		}
		pass := func(elapsed time.Duration) {
			now = now.Add(elapsed)
			debt = max(debt-elapsed.Seconds()*rate, 0)
		}
		end := func() { // ends the write of a chunk
			first := writing[0]
			if writing = writing[1:]; left[first] > 0 {
				tested.request(first, now)
				return
			}
			tested.remove(first, now)
			delete(left, first)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				bytes := rapid.IntRange(1, 20*chunkBytes).Draw(t, "bytes")
				order := Order{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Due: now.Add(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "due")) * time.Millisecond)}
				left[tested.add(bytes, order, now)] = bytes
			},
			"next": func(*rapid.T) { step() },
			"pass": func(t *rapid.T) { pass(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond) },
			"end": func(t *rapid.T) {
				if len(writing) == 0 {
					t.Skip("no write")
				}
				end()
			},
			"break": func(t *rapid.T) {
				if len(writing) == 0 {
					t.Skip("no write")
				}
				tested.remove(writing[0], now)
				delete(left, writing[0])
				writing = writing[1:]
			},
		})
		for rounds := 0; len(left) > 0; rounds++ {
			if rounds > 100_000 {
				t.Fatalf("%d bodies are not sent", len(left))
			}
			step()
			for len(writing) > 0 {
				end()
			}
			pass(time.Millisecond)
		}
		if owed := tested.owed(now); owed != 0 || len(tested.bodies) != 0 {
			t.Fatalf("%d bytes owed for %d bodies", owed, len(tested.bodies))
		}
	})
}

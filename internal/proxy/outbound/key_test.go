package outbound_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// sendKeyed sends a booking that may run once.
func (r *rig) sendKeyed(key string) (*http.Response, string) {
	request := r.request("POST", "/", strings.NewReader("booking"))
	request.Header.Set(outcome.HeaderIdempotencyKey, key)
	return r.do(request)
}

// edit changes what the fleet knows of one instance.
func (r *rig) edit(name string, change func(*membership.Member)) {
	for index := range r.members {
		if r.members[index].Record.Node == membership.NodeID(name) {
			change(&r.members[index])
		}
	}
	r.view.Store(membership.NewView(r.members))
}

func end(member *membership.Member) { member.Record.State = membership.StateGone }

// Keyed requests that may run once go to the instance that remembers the key,
// draining or not, and nowhere else once it has gone.
func TestKeyStaysWithItsInstance(t *testing.T) {
	r := newRig(t)
	r.configure(nil)
	for _, name := range []string{"a", "b", "c", "d"} {
		r.instance(name, answer(name))
	}
	_, first := r.sendKeyed("booking-1")
	for range 5 {
		_, again := r.sendKeyed("booking-1")
		r.Check(again, qt.Equals, first)
	}
	r.edit(first, func(m *membership.Member) { m.Record.State = membership.StateDraining })
	_, again := r.sendKeyed("booking-1")
	r.Check(again, qt.Equals, first)

	r.edit(first, func(m *membership.Member) { m.Record.Incarnation++ })
	response, _ := r.sendKeyed("booking-1")
	r.checkProblem(response, 409, outcome.Unknown, outcome.ReasonRepeatLost)
}

// Two proxies find the same instance for a key without having talked, and both
// leave out one that is suspected.
func TestKeyHasOneOwner(t *testing.T) {
	one, other := newRig(t), newRig(t)
	for _, r := range []*rig{one, other} {
		r.configure(nil)
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		one.instance(name, answer(name))
	}
	other.members = append(other.members, one.members...)
	other.view.Store(membership.NewView(other.members))
	_, suspected := one.sendKeyed("booking")
	for number := range 20 {
		if number == 10 {
			one.edit(suspected, func(m *membership.Member) { m.Suspected = true })
			other.edit(suspected, func(m *membership.Member) { m.Suspected = true })
		}
		_, first := one.sendKeyed(fmt.Sprint(number))
		_, second := other.sendKeyed(fmt.Sprint(number))
		one.Check(second, qt.Equals, first)
		one.Check(number >= 10 && first == suspected, qt.IsFalse)
	}
}

// A refusal of the owner goes to the caller at once: another instance would not
// know of a first run. It leaves no trace, so that the key can go to the next
// owner once this one has gone; a draining owner passes the key on itself.
func TestKeyRefusedByItsOwner(t *testing.T) {
	for _, test := range []struct {
		reason outcome.Reason
		sent   int32
	}{
		{outcome.ReasonOverloaded, 1},
		{outcome.ReasonDraining, 2},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			r := newRig(t)
			r.configure(nil)
			var sent atomic.Int32
			var owner atomic.Value
			for _, name := range []string{"a", "b"} {
				r.instance(name, func(w http.ResponseWriter, request *http.Request) {
					sent.Add(1)
					_, _ = io.Copy(io.Discard, request.Body)
					if owner.CompareAndSwap(nil, name) || owner.Load() == name {
						refuse(test.reason, outcome.NotRun, true)(w, request)
					}
				})
			}
			response, _ := r.sendKeyed("booking-1")
			r.Check(sent.Load(), qt.Equals, test.sent)
			if test.sent > 1 {
				r.Check(response.StatusCode, qt.Equals, 200)
				return
			}
			r.checkProblem(response, 503, outcome.NotRun, test.reason)
			r.edit(owner.Load().(string), end)
			response, _ = r.sendKeyed("booking-1")
			r.Check(response.StatusCode, qt.Equals, 200)
		})
	}
}

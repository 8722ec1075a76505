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

// sendKeyed sends a request with an Idempotency-Key that may run only once.
func (r *harness) sendKeyed(key string) (*http.Response, string) {
	request := r.request("POST", "/", strings.NewReader("booking"))
	request.Header.Set(outcome.HeaderIdempotencyKey, key)
	return r.do(request)
}

// editMember changes the member record of one instance.
func (r *harness) editMember(name string, change func(*membership.Member)) {
	for index := range r.members {
		if r.members[index].Record.Node == membership.NodeID(name) {
			change(&r.members[index])
		}
	}
	r.view.Store(membership.NewView(r.members))
}

func markGone(member *membership.Member) { member.Record.State = membership.StateGone }

// Requests with a key that may run only once go to the instance that remembers the
// key, even while it drains, and to no other instance once it is gone.
func TestKeyStaysWithItsInstance(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	for _, name := range []string{"a", "b", "c", "d"} {
		r.addInstance(name, respond(name))
	}
	_, first := r.sendKeyed("booking-1")
	for range 5 {
		_, again := r.sendKeyed("booking-1")
		r.Check(again, qt.Equals, first)
	}
	r.editMember(first, func(m *membership.Member) { m.Record.State = membership.StateDraining })
	_, again := r.sendKeyed("booking-1")
	r.Check(again, qt.Equals, first)

	r.editMember(first, func(m *membership.Member) { m.Record.Incarnation++ })
	response, _ := r.sendKeyed("booking-1")
	r.checkProblem(response, 409, outcome.Unknown, outcome.ReasonRepeatLost)
}

// Two proxies choose the same instance for a key without communicating, and both
// avoid one that is suspected.
func TestProxiesAgreeOnKeyOwner(t *testing.T) {
	one, other := newHarness(t), newHarness(t)
	for _, r := range []*harness{one, other} {
		r.configure(nil)
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		one.addInstance(name, respond(name))
	}
	other.members = append(other.members, one.members...)
	other.view.Store(membership.NewView(other.members))
	_, suspected := one.sendKeyed("booking")
	for number := range 20 {
		if number == 10 {
			one.editMember(suspected, func(m *membership.Member) { m.Suspected = true })
			other.editMember(suspected, func(m *membership.Member) { m.Suspected = true })
		}
		_, first := one.sendKeyed(fmt.Sprint(number))
		_, second := other.sendKeyed(fmt.Sprint(number))
		one.Check(second, qt.Equals, first)
		one.Check(number >= 10 && first == suspected, qt.IsFalse)
	}
}

// A refusal of the owner is returned to the caller at once, because another instance
// would not know of an earlier run. The key is not cached then, so that it can go to
// the next owner once this one is gone. If the owner refuses because it is draining,
// the request is sent to the next owner.
func TestKeyRefusedByItsOwner(t *testing.T) {
	for _, test := range []struct {
		reason outcome.Reason
		sent   int32
	}{
		{outcome.ReasonOverloaded, 1},
		{outcome.ReasonDraining, 2},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			var sent atomic.Int32
			var owner atomic.Value
			for _, name := range []string{"a", "b"} {
				r.addInstance(name, func(w http.ResponseWriter, request *http.Request) {
					sent.Add(1)
					_, _ = io.Copy(io.Discard, request.Body)
					if owner.CompareAndSwap(nil, name) || owner.Load() == name {
						respondWithProblem(test.reason, outcome.NotRun, true)(w, request)
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
			r.editMember(owner.Load().(string), markGone)
			response, _ = r.sendKeyed("booking-1")
			r.Check(response.StatusCode, qt.Equals, 200)
		})
	}
}

package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// withVirtualTime runs a test with the virtual time of synctest.
func withVirtualTime(t *testing.T, test func(c *qt.C)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t)) })
}

func start(c *qt.C, options Options) *Platform {
	emulator, err := New(options)
	c.Assert(err, qt.IsNil)
	return emulator
}

// read is a request to the read API, in progress or ended.
type read struct {
	*httptest.ResponseRecorder
	cancel context.CancelFunc
	done   chan struct{}
}

// ask starts a request of the named client and returns when it is answered or held.
func ask(p *Platform, client, target string, header ...string) *read {
	ctx, cancel := context.WithCancel(context.Background())
	request := httptest.NewRequest(http.MethodGet, target, nil).WithContext(ctx)
	request.Header.Set(source.NodeHeader, client)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	r := &read{httptest.NewRecorder(), cancel, make(chan struct{})}
	go func() {
		defer close(r.done)
		p.Handler().ServeHTTP(r, request)
	}()
	synctest.Wait()
	return r
}

func (r *read) held() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

func headWaitTarget(after int) string {
	return fmt.Sprintf("%s?after=%d&wait=20s", source.HeadPath, after)
}

func TestChangeAnswersAllHeldReads(t *testing.T) {
	withVirtualTime(t, func(c *qt.C) {
		const readers = 2000
		emulator := start(c, Options{})
		var reads []*read
		for i := range readers {
			reads = append(reads, ask(emulator, fmt.Sprint("n", i), headWaitTarget(1)))
		}
		c.Assert(emulator.Statistics().Waiting, qt.Equals, int64(readers))
		version, err := emulator.Submit(snapshot.Policy{Name: "trips"})
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		for _, r := range reads {
			c.Assert(r.held(), qt.IsFalse)
			var head snapshot.Version
			c.Assert(json.Unmarshal(r.Body.Bytes(), &head), qt.IsNil)
			c.Assert(head, qt.Equals, version)
		}
		c.Assert(emulator.Statistics().ReadersMax, qt.Equals, readers)
	})
}

func TestHeldReadEndsAfterItsWait(t *testing.T) {
	withVirtualTime(t, func(c *qt.C) {
		emulator := start(c, Options{})
		r := ask(emulator, "n1", headWaitTarget(1))
		time.Sleep(20*time.Second - time.Nanosecond)
		c.Assert(r.held(), qt.IsTrue)
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		c.Assert(r.held(), qt.IsFalse)
		c.Assert(r.Code, qt.Equals, http.StatusOK)
	})
}

func TestReadersAreCountedAndLimited(t *testing.T) {
	withVirtualTime(t, func(c *qt.C) {
		emulator := start(c, Options{MaxReaders: 2, RetryAfter: 1500 * time.Millisecond})
		first := ask(emulator, "n1", headWaitTarget(1))
		second := ask(emulator, "n2", headWaitTarget(1))
		again := ask(emulator, "n2", source.ConfigurationPath)
		refused := ask(emulator, "n3", headWaitTarget(1))
		c.Assert(again.Code, qt.Equals, http.StatusOK)
		c.Assert(refused.held(), qt.IsFalse)
		c.Assert(refused.Code, qt.Equals, http.StatusTooManyRequests)
		c.Assert(refused.Header().Get("Retry-After"), qt.Equals, "2")
		c.Assert(ask(emulator, "n3", source.MembersPath).Code, qt.Equals, http.StatusOK, qt.Commentf("MaxReaders must not limit the membership list"))
		statistics := emulator.Statistics()
		c.Assert([]int{statistics.Readers, statistics.ReadersMax, statistics.Asking}, qt.DeepEquals, []int{2, 2, 3})
		c.Assert(statistics.Refused, qt.Equals, int64(1))

		first.cancel() // a client counts as a reader until its window has passed
		<-first.done
		c.Assert(ask(emulator, "n3", headWaitTarget(1)).Code, qt.Equals, http.StatusTooManyRequests)
		time.Sleep(DefaultReaderWindow)
		admitted := ask(emulator, "n3", headWaitTarget(1))
		c.Assert(admitted.held(), qt.IsTrue)
		c.Assert(second.held(), qt.IsTrue)
		c.Assert(emulator.Statistics().ReadersMax, qt.Equals, 2)
		admitted.cancel()
		second.cancel()
	})
}

func TestUnnamedClientsAreCountedByConnection(t *testing.T) {
	c := qt.New(t)
	request := httptest.NewRequest(http.MethodGet, source.HeadPath, nil)
	c.Assert(clientOf(request), qt.Equals, request.RemoteAddr)
}

func liveMember(node membership.NodeID) membership.ListedMember {
	return membership.ListedMember{Node: node, PeerAddress: "127.0.0.1:7000", State: membership.ListedLive}
}

func TestMemberListLagAndDistortion(t *testing.T) {
	withVirtualTime(t, func(c *qt.C) {
		const lag = 30 * time.Second
		emulator := start(c, Options{Members: []membership.ListedMember{liveMember("a")}, MemberLag: lag})
		listed := func() []membership.NodeID {
			var list struct{ Members []membership.ListedMember }
			c.Assert(json.Unmarshal(ask(emulator, "n1", source.MembersPath).Body.Bytes(), &list), qt.IsNil)
			nodes := []membership.NodeID{}
			for _, member := range list.Members {
				nodes = append(nodes, member.Node)
			}
			return nodes
		}
		etag := ask(emulator, "n1", source.MembersPath).Header().Get("ETag")
		waiting := ask(emulator, "n1", source.MembersPath+"?wait=50s", "If-None-Match", etag)
		emulator.PutMember(liveMember("b"))
		time.Sleep(lag / 2)
		emulator.RemoveMember("a")
		c.Assert(emulator.Members(), qt.DeepEquals, []membership.ListedMember{liveMember("b")})
		c.Assert(waiting.held(), qt.IsTrue)
		c.Assert(listed(), qt.DeepEquals, []membership.NodeID{"a"})
		time.Sleep(lag / 2)
		synctest.Wait()
		c.Assert(waiting.held(), qt.IsFalse)
		c.Assert(listed(), qt.DeepEquals, []membership.NodeID{"a", "b"})
		time.Sleep(lag / 2)
		synctest.Wait() // the lag of the second change ends now
		c.Assert(listed(), qt.DeepEquals, []membership.NodeID{"b"})

		emulator.Distort(Distortion{Missing: []membership.NodeID{"b"}, Extra: []membership.ListedMember{liveMember("ghost")}})
		c.Assert(listed(), qt.DeepEquals, []membership.NodeID{"ghost"})
		emulator.Distort(Distortion{})
		c.Assert(listed(), qt.DeepEquals, []membership.NodeID{"b"})
	})
}

func TestFaultsAffectHeldReadsInScope(t *testing.T) {
	withVirtualTime(t, func(c *qt.C) {
		emulator := start(c, Options{})
		affected := ask(emulator, "n1", headWaitTarget(1))
		exempt := ask(emulator, "n2", headWaitTarget(1))
		emulator.SetFault(Scope{Client: "n2"}, Fault{})
		emulator.SetFault(Scope{Service: ServiceConfiguration}, Fault{Kind: FaultUnavailable})
		synctest.Wait()
		c.Assert(affected.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(exempt.held(), qt.IsTrue)
		c.Assert(ask(emulator, "n1", source.MembersPath).Code, qt.Equals, http.StatusOK)

		emulator.ClearFaults()
		emulator.SetFault(Scope{Client: "n1"}, Fault{Kind: FaultStale}) // keeps serving revision 1
		_, err := emulator.Submit(snapshot.Policy{Name: "trips"})
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		c.Assert(exempt.held(), qt.IsFalse)
		stale := ask(emulator, "n1", headWaitTarget(1))
		c.Assert(stale.held(), qt.IsTrue)
		emulator.SetFault(Scope{Client: "n1"}, Fault{Kind: FaultStall})
		time.Sleep(time.Hour)
		c.Assert(stale.held(), qt.IsTrue, qt.Commentf("a stalled read must not be answered when its wait ends"))
		emulator.ClearFaults()
		synctest.Wait()
		c.Assert(stale.held(), qt.IsFalse)
	})
}

func TestOperatorChangePublishesOneRevision(t *testing.T) {
	c := qt.New(t)
	emulator := start(c, Options{})
	for i, test := range []struct {
		method, target, body string
		status               int
		revision             snapshot.Revision
	}{
		{http.MethodPost, "/v1/policies", `{"name":"trips","program":"not a program ("}`, http.StatusOK, 2},
		{http.MethodPost, "/v1/policies", `{"name":"trips","program":"revised"}`, http.StatusOK, 3},
		{http.MethodPut, "/v1/services/reservas", `{"slots":20}`, http.StatusOK, 4},
		{http.MethodPut, "/v1/secrets/token", `{"value":"hush"}`, http.StatusOK, 5},
		{http.MethodPost, "/v1/policies", `{"name":"x","unknown":1}`, http.StatusBadRequest, 5},
		{http.MethodPost, "/v1/policies", `{"name":"not a name"}`, http.StatusBadRequest, 5},
		{http.MethodDelete, "/v1/policies/absent", ``, http.StatusNotFound, 5},
		{http.MethodDelete, "/v1/policies/trips", ``, http.StatusOK, 6},
		{http.MethodDelete, "/v1/services/reservas", ``, http.StatusOK, 7},
		{http.MethodDelete, "/v1/secrets/token", ``, http.StatusOK, 8},
		{http.MethodPut, "/v1/content", `{"services":[{"name":"a"}]}`, http.StatusOK, 9},
	} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(test.method, test.target, strings.NewReader(test.body))
		emulator.OperatorHandler().ServeHTTP(recorder, request)
		row := qt.Commentf("row %d: %s", i, recorder.Body)
		c.Assert(recorder.Code, qt.Equals, test.status, row)
		c.Assert(emulator.Version().Revision, qt.Equals, test.revision, row)
		if test.status == http.StatusOK {
			var version snapshot.Version
			c.Assert(json.Unmarshal(recorder.Body.Bytes(), &version), qt.IsNil)
			c.Assert(version, qt.Equals, emulator.Version(), row)
		}
	}
	c.Assert(emulator.Content().Services, qt.DeepEquals, []snapshot.Service{{Name: "a"}})
}

func TestSubmitReviseAndWithdrawCheckExistence(t *testing.T) {
	c := qt.New(t)
	emulator := start(c, Options{})
	policy := snapshot.Policy{Name: "trips"}
	_, err := emulator.Revise(policy)
	c.Assert(errors.Is(err, ErrNotFound), qt.IsTrue)
	_, err = emulator.Submit(policy)
	c.Assert(err, qt.IsNil)
	_, err = emulator.Submit(policy)
	c.Assert(errors.Is(err, ErrExists), qt.IsTrue)
	_, err = emulator.Withdraw("trips")
	c.Assert(err, qt.IsNil)
	_, err = emulator.Withdraw("trips")
	c.Assert(errors.Is(err, ErrNotFound), qt.IsTrue)
	c.Assert(emulator.Version().Revision, qt.Equals, snapshot.Revision(3))
}

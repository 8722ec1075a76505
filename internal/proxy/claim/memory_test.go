package claim

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/idempotency"
	"github.com/winchhead/winchhead/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is a set of nodes connected by in-memory streams.
type fleet struct {
	*qt.C
	view *membership.View

	mu       sync.Mutex
	replicas map[string]*Replica // by peer address; nil: unreachable
	silent   map[string]bool     // accepts requests but does not reply
	streams  map[string][]*pipe
}

// pipe is one end of an in-memory stream.
type pipe struct {
	in, out chan wire.Message
	ended   chan struct{} // shared by both ends
	once    *sync.Once
}

func (p *pipe) Next() (wire.Message, error) {
	select {
	case message := <-p.in:
		return message, nil
	case <-p.ended:
		return nil, io.EOF
	}
}

func (p *pipe) Write(message wire.Message) error {
	select {
	case p.out <- message:
		return nil
	case <-p.ended:
		return io.EOF
	}
}

func (p *pipe) Close() error {
	p.once.Do(func() { close(p.ended) })
	return nil
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{C: qt.New(t), replicas: map[string]*Replica{}, silent: map[string]bool{}, streams: map[string][]*pipe{}}
	var members []membership.Member
	for number := range size {
		name := strconv.Itoa(number)
		members = append(members, membership.Member{Record: membership.Record{
			Node: membership.NodeID(name), Incarnation: 1, State: membership.StateReady, PeerAddress: name}})
		f.restart(name)
	}
	f.view = membership.NewView(members)
	return f
}

// restart gives a node a new process, which remembers no keys.
func (f *fleet) restart(name string) {
	f.kill(name)
	replica, err := NewReplica(nil)
	f.Assert(err, qt.IsNil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas[name] = replica
}

func (f *fleet) kill(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.replicas[name] = nil
		for _, stream := range f.streams[name] {
			_ = stream.Close()
		}
	}
}

// setSilent sets whether a node accepts requests without replying.
func (f *fleet) setSilent(name string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[name] = silent
}

func (f *fleet) dial(_ context.Context, peer string) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	replica := f.replicas[peer]
	if replica == nil {
		return nil, io.ErrUnexpectedEOF
	}
	there, back := make(chan wire.Message), make(chan wire.Message)
	near := &pipe{in: back, out: there, ended: make(chan struct{}), once: &sync.Once{}}
	far := &pipe{in: there, out: back, ended: near.ended, once: near.once}
	f.streams[peer] = append(f.streams[peer], near)
	if f.silent[peer] {
		go func() {
			for _, err := far.Next(); err == nil; _, err = far.Next() {
			}
		}()
		return near, nil
	}
	go replica.Serve(far)
	return near, nil
}

// memory returns the memory of a new process of a node.
func (f *fleet) memory(name string) *Memory {
	f.mu.Lock()
	own := f.replicas[name]
	f.mu.Unlock()
	created, err := NewMemory(Options{
		Local:   idempotency.NewLocal(idempotency.DefaultLimits(time.Minute)),
		Self:    func() (membership.NodeID, membership.Incarnation) { return membership.NodeID(name), 1 },
		View:    func() *membership.View { return f.view },
		Replica: own, Dial: f.dial, Replicas: 5, Lifetime: time.Minute,
	})
	f.Assert(err, qt.IsNil)
	f.Cleanup(created.Close)
	return created
}

var (
	testKey = idempotency.Key{Route: "reservas/book", Value: "k"}
	booking = idempotency.NewFingerprint("POST", "/bookings", 4, []byte("body"))
	another = idempotency.NewFingerprint("POST", "/bookings", 4, []byte("else"))
)

// begin claims the key for a request with a timeout of 4 s.
func (f *fleet) begin(memory *Memory, fingerprint idempotency.Fingerprint) (idempotency.Claim, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	return memory.Begin(ctx, testKey, fingerprint)
}

// TestRepeatAtAnotherNode sends a request to node 0 of five, applies faults, and sends
// its repeat to node 1.
func TestRepeatAtAnotherNode(t *testing.T) {
	for _, test := range []struct {
		name        string
		before      func(f *fleet)
		ending      idempotency.Ending // 0: still runs
		after       func(f *fleet)
		fingerprint idempotency.Fingerprint
		verdict     idempotency.Verdict // 0: no quorum
	}{
		{"done", nil, idempotency.EndedDone, nil, booking, idempotency.Running},
		{"done, deadline passed", nil, idempotency.EndedDone, func(*fleet) { time.Sleep(5 * time.Second) }, booking, idempotency.Lost},
		{"done, key expired", nil, idempotency.EndedDone, func(*fleet) { time.Sleep(65 * time.Second) }, booking, idempotency.First},
		{"still running", nil, 0, nil, booking, idempotency.Running},
		{"not run", nil, idempotency.EndedNotRun, func(*fleet) { synctest.Wait() }, booking, idempotency.First},
		{"another request", nil, idempotency.EndedDone, nil, another, idempotency.Conflict},
		{"owner restarted", nil, idempotency.EndedDone, func(f *fleet) { f.restart("0") }, booking, idempotency.Running},
		{"owner killed", nil, idempotency.EndedDone, func(f *fleet) { f.kill("0") }, booking, idempotency.Running},
		{"owner and another replica restarted", nil, idempotency.EndedDone, func(f *fleet) { f.restart("0"); f.restart("4") }, booking, idempotency.Running},
		{"owner and another replica killed", nil, idempotency.EndedDone, func(f *fleet) { f.kill("0", "4") }, booking, idempotency.Running},
		{"one unreachable at first, two others restarted", func(f *fleet) { f.kill("2") }, idempotency.EndedDone,
			func(f *fleet) { f.restart("0"); f.restart("2"); f.restart("4") }, booking, idempotency.Running},
		{"one silent at first, two others restarted", func(f *fleet) { f.setSilent("2", true) }, idempotency.EndedDone,
			func(f *fleet) { f.setSilent("2", false); f.restart("0"); f.restart("2"); f.restart("4") }, booking, idempotency.Running},
		{"not run, two killed", nil, idempotency.EndedNotRun, func(f *fleet) { synctest.Wait(); f.kill("0", "4") }, booking, 0},
		{"not run, one silent", nil, idempotency.EndedNotRun, func(f *fleet) { synctest.Wait(); f.setSilent("4", true); f.restart("4") },
			booking, idempotency.First},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5)
				if test.before != nil {
					test.before(f)
				}
				first, err := f.begin(f.memory("0"), booking)
				f.Assert(err, qt.IsNil)
				f.Assert(first.Verdict, qt.Equals, idempotency.First)
				if test.ending != 0 {
					first.Run.End(test.ending, nil)
				}
				if test.after != nil {
					test.after(f)
				}
				again, err := f.begin(f.memory("1"), test.fingerprint)
				f.Check(again.Verdict, qt.Equals, test.verdict)
				f.Check(errors.Is(err, idempotency.ErrNoQuorum), qt.Equals, test.verdict == 0, qt.Commentf("%v", err))
			})
		})
	}
}

// A claim that is refused because two of five replicas are unreachable must leave the
// key free once one of them is back.
func TestRefusedClaimFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		f.kill("3", "4")
		_, err := f.begin(f.memory("0"), booking)
		f.Assert(errors.Is(err, idempotency.ErrNoQuorum), qt.IsTrue)
		f.restart("4")
		time.Sleep(2 * time.Second) // old links to the replica are closed by then
		again, err := f.begin(f.memory("1"), booking)
		f.Assert(err, qt.IsNil)
		f.Check(again.Verdict, qt.Equals, idempotency.First)
	})
}

// A competing claim holds two of five replicas and releases them as it lost too.
// Neither request ran, so the key must be free.
func TestSplitVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		request := wire.ClaimRequest{Action: wire.ClaimActionClaim, Key: keyOf(testKey), Fingerprint: wire.ClaimFingerprint(booking),
			Holder: wire.ClaimHolder{Node: "1", Incarnation: 1, Number: 7}, GrantMillis: time.Hour.Milliseconds()}
		for _, replica := range []string{"1", "2"} {
			f.replicas[replica].handle(&request)
		}
		time.AfterFunc(20*time.Millisecond, func() {
			request.Action = wire.ClaimActionRelease
			for _, replica := range f.replicas {
				replica.handle(&request)
			}
		})
		memory := f.memory("0")
		_, err := f.begin(memory, booking)
		f.Assert(errors.Is(err, idempotency.ErrNoQuorum), qt.IsTrue)
		again, err := f.begin(memory, booking)
		f.Assert(err, qt.IsNil)
		f.Check(again.Verdict, qt.Equals, idempotency.First)
	})
}

// Three nodes claim a key at the same time. At most one may run; if none did, the next
// claim must win.
func TestConcurrentClaims(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 5)
			results := make(chan idempotency.Verdict, 3)
			for _, name := range []string{"0", "1", "2"} {
				memory := f.memory(name)
				go func() {
					claim, _ := f.begin(memory, booking)
					results <- claim.Verdict
				}()
			}
			firsts := 0
			for range 3 {
				if <-results == idempotency.First {
					firsts++
				}
			}
			f.Assert(firsts <= 1, qt.IsTrue, qt.Commentf("%d ran", firsts))
			time.Sleep(3 * time.Second) // until all releases have arrived
			last, _ := f.begin(f.memory("3"), booking)
			f.Assert(last.Verdict == idempotency.First, qt.Equals, firsts == 0)
		})
	}
}

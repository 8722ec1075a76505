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
	"github.com/winchhead/winchhead/internal/proxy/repeat"
	"github.com/winchhead/winchhead/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is a number of nodes with streams in memory between them.
type fleet struct {
	*qt.C
	view *membership.View

	mu       sync.Mutex
	replicas map[string]*Replica // by peer address; nil: unreachable
	silent   map[string]bool     // takes requests, replies to none
	streams  map[string][]*pipe
}

// pipe is one end of a stream.
type pipe struct {
	in, out chan wire.Message
	ended   chan struct{} // of both ends
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
		f.replace(name)
	}
	f.view = membership.NewView(members)
	return f
}

// replace gives a node a new process, which remembers nothing.
func (f *fleet) replace(name string) {
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

// hush makes a node take requests without a reply, or ends that.
func (f *fleet) hush(name string, silent bool) {
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

// memory is that of a new process of a node.
func (f *fleet) memory(name string) *Memory {
	f.mu.Lock()
	own := f.replicas[name]
	f.mu.Unlock()
	created, err := NewMemory(Options{
		Local:   repeat.NewLocal(repeat.DefaultLimits(time.Minute)),
		Self:    func() (membership.NodeID, membership.Incarnation) { return membership.NodeID(name), 1 },
		View:    func() *membership.View { return f.view },
		Replica: own, Dial: f.dial, Replicas: 5, Lifetime: time.Minute,
	})
	f.Assert(err, qt.IsNil)
	f.Cleanup(created.Close)
	return created
}

var (
	someKey = repeat.Key{Route: "reservas/book", Value: "k"}
	booking = repeat.NewFingerprint("POST", "/bookings", 4, []byte("body"))
	another = repeat.NewFingerprint("POST", "/bookings", 4, []byte("else"))
)

// begin claims the key for a request of 4 s.
func (f *fleet) begin(memory *Memory, fingerprint repeat.Fingerprint) (repeat.Claim, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	return memory.Begin(ctx, someKey, fingerprint)
}

// TestRepeatAtAnotherNode has a request run at node 0 or not, faults, and its
// repeat at node 1 of five.
func TestRepeatAtAnotherNode(t *testing.T) {
	for _, test := range []struct {
		name        string
		before      func(f *fleet)
		ending      repeat.Ending // 0: runs on
		after       func(f *fleet)
		fingerprint repeat.Fingerprint
		verdict     repeat.Verdict // 0: no quorum
	}{
		{"done", nil, repeat.EndedDone, nil, booking, repeat.Running},
		{"done, its time over", nil, repeat.EndedDone, func(*fleet) { time.Sleep(5 * time.Second) }, booking, repeat.Lost},
		{"done, forgotten", nil, repeat.EndedDone, func(*fleet) { time.Sleep(65 * time.Second) }, booking, repeat.First},
		{"runs on", nil, 0, nil, booking, repeat.Running},
		{"not run", nil, repeat.EndedNotRun, func(*fleet) { synctest.Wait() }, booking, repeat.First},
		{"another request", nil, repeat.EndedDone, nil, another, repeat.Conflict},
		{"owner replaced", nil, repeat.EndedDone, func(f *fleet) { f.replace("0") }, booking, repeat.Running},
		{"owner killed", nil, repeat.EndedDone, func(f *fleet) { f.kill("0") }, booking, repeat.Running},
		{"owner and an edge replaced", nil, repeat.EndedDone, func(f *fleet) { f.replace("0"); f.replace("4") }, booking, repeat.Running},
		{"owner and an edge killed", nil, repeat.EndedDone, func(f *fleet) { f.kill("0", "4") }, booking, repeat.Running},
		{"one unreachable, then two replaced", func(f *fleet) { f.kill("2") }, repeat.EndedDone,
			func(f *fleet) { f.replace("0"); f.replace("2"); f.replace("4") }, booking, repeat.Running},
		{"one silent, then two replaced", func(f *fleet) { f.hush("2", true) }, repeat.EndedDone,
			func(f *fleet) { f.hush("2", false); f.replace("0"); f.replace("2"); f.replace("4") }, booking, repeat.Running},
		{"not run, two killed", nil, repeat.EndedNotRun, func(f *fleet) { synctest.Wait(); f.kill("0", "4") }, booking, 0},
		{"not run, one silent", nil, repeat.EndedNotRun, func(f *fleet) { synctest.Wait(); f.hush("4", true); f.replace("4") },
			booking, repeat.First},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5)
				if test.before != nil {
					test.before(f)
				}
				first, err := f.begin(f.memory("0"), booking)
				f.Assert(err, qt.IsNil)
				f.Assert(first.Verdict, qt.Equals, repeat.First)
				if test.ending != 0 {
					first.Run.End(test.ending, nil)
				}
				if test.after != nil {
					test.after(f)
				}
				again, err := f.begin(f.memory("1"), test.fingerprint)
				f.Check(again.Verdict, qt.Equals, test.verdict)
				f.Check(errors.Is(err, repeat.ErrNoQuorum), qt.Equals, test.verdict == 0, qt.Commentf("%v", err))
			})
		})
	}
}

// TestRefusedClaimFreesTheKey has two of five unreachable, then back.
func TestRefusedClaimFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		f.kill("3", "4")
		_, err := f.begin(f.memory("0"), booking)
		f.Assert(errors.Is(err, repeat.ErrNoQuorum), qt.IsTrue)
		f.replace("4")
		time.Sleep(2 * time.Second) // links to it are given up by then
		again, err := f.begin(f.memory("1"), booking)
		f.Assert(err, qt.IsNil)
		f.Check(again.Verdict, qt.Equals, repeat.First)
	})
}

// TestSplitVotes has another claim hold two of five replicas, which it releases as
// it lost too: neither ran, and the key is free.
func TestSplitVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		request := wire.ClaimRequest{Action: wire.ClaimActionClaim, Key: keyOf(someKey), Fingerprint: wire.ClaimFingerprint(booking),
			Holder: wire.ClaimHolder{Node: "1", Incarnation: 1, Number: 7}, Hold: time.Hour.Milliseconds()}
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
		f.Assert(errors.Is(err, repeat.ErrNoQuorum), qt.IsTrue)
		again, err := f.begin(memory, booking)
		f.Assert(err, qt.IsNil)
		f.Check(again.Verdict, qt.Equals, repeat.First)
	})
}

// TestClaimsThatMeet has three nodes claim a key at once, many times: never two
// run, and when none did the next one does.
func TestClaimsThatMeet(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 5)
			results := make(chan repeat.Verdict, 3)
			for _, name := range []string{"0", "1", "2"} {
				memory := f.memory(name)
				go func() {
					claim, _ := f.begin(memory, booking)
					results <- claim.Verdict
				}()
			}
			firsts := 0
			for range 3 {
				if <-results == repeat.First {
					firsts++
				}
			}
			f.Assert(firsts <= 1, qt.IsTrue, qt.Commentf("%d ran", firsts))
			time.Sleep(3 * time.Second) // all releases have arrived
			last, _ := f.begin(f.memory("3"), booking)
			f.Assert(last.Verdict == repeat.First, qt.Equals, firsts == 0)
		})
	}
}

package fleet

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wait"
	"github.com/winchhead/winchhead/internal/wire"
)

// impostor is a peer that breaks the protocol on links to several nodes. It has
// keys of the fleet where the fleet uses keys.
type impostor struct {
	fleet  *Fleet
	record membership.Record
	cancel context.CancelFunc
	links  sync.WaitGroup
	// opened counts the links on which the node answered with its Hello.
	opened atomic.Int64
	// reached is closed once a node has answered.
	reached   chan struct{}
	reachOnce sync.Once
}

// misbehaviour acts on one link after the exchange of Hello, until the link ends.
// It reads with frames and writes to link.
type misbehaviour func(ctx context.Context, link net.Conn, frames *wire.Reader) error

// impostorRetry is the wait before a link that was closed is opened again.
const impostorRetry = 500 * time.Millisecond

// startImpostor opens a link to each of the nodes, again and again.
func (f *Fleet) startImpostor(number int, claims snapshot.Version, targets []int, act misbehaviour) *impostor {
	ctx, cancel := context.WithCancel(context.Background())
	at := locationOf(number)
	p := &impostor{
		fleet:   f,
		cancel:  cancel,
		reached: make(chan struct{}),
		record: membership.Record{
			Node:        membership.NodeID(fmt.Sprintf("impostor-%d", number)),
			Incarnation: membership.Incarnation(time.Now().UnixMilli()),
			Sequence:    1,
			State:       membership.StateReady,
			Region:      at.Region,
			Zone:        at.Zone,
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1+number), // nobody listens there
		},
	}
	for _, target := range targets {
		p.links.Go(func() {
			for ctx.Err() == nil {
				_ = p.misbehave(ctx, f.nodes[target].address, claims, act) // the node closes the link, as it should
				_ = wait.For(ctx, impostorRetry)
			}
		})
	}
	return p
}

// stop ends the impostor and tells whether any node ever took its link.
func (p *impostor) stop() error {
	p.cancel()
	p.links.Wait()
	if p.opened.Load() == 0 {
		return eris.New("no node took a link of the impostor: the case was not tried")
	}
	return nil
}

// awaitReached waits until a node took a link.
func (p *impostor) awaitReached(ctx context.Context) error {
	select {
	case <-p.reached:
		return nil
	case <-ctx.Done():
		return eris.New("no node took a link of the impostor in time")
	}
}

func (p *impostor) misbehave(ctx context.Context, address string, claims snapshot.Version, act misbehaviour) error {
	link, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	defer link.Close()
	defer context.AfterFunc(ctx, func() { link.Close() })()
	hello := &wire.Hello{
		Protocol: wire.ProtocolVersion,
		Self:     p.record,
		Held:     wire.Short(claims),
		Purpose:  wire.PurposeLink,
	}
	if err := send(link, hello); err != nil {
		return err
	}
	frames := wire.NewReader(link, wire.Limits{})
	answer, _, err := frames.Next()
	if err != nil {
		return err
	}
	if _, ok := answer.(*wire.Hello); !ok {
		return eris.New("the node did not answer with Hello")
	}
	p.opened.Add(1)
	p.reachOnce.Do(func() { close(p.reached) })
	return act(ctx, link, frames)
}

func (p *impostor) open(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	link, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || p.fleet.authority == nil {
		return link, err
	}
	issued, err := p.fleet.issue(string(p.record.Node))
	if err != nil {
		link.Close()
		return nil, err
	}
	return tls.Client(link, issued.ClientConfig()), nil
}

func send(link net.Conn, message wire.Message) error {
	frame, err := wire.Encode(message)
	if err != nil {
		return err
	}
	_, err = link.Write(frame)
	return err
}

// beSlow asks for whole documents without reading any answer.
func beSlow(ctx context.Context, link net.Conn, _ *wire.Reader) error {
	const pulls = 2000
	for range pulls {
		if err := send(link, &wire.Pull{Want: 1}); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// sendGarbage writes random bytes.
func sendGarbage(seed uint64) misbehaviour {
	return func(_ context.Context, link net.Conn, _ *wire.Reader) error {
		random := rand.NewChaCha8([32]byte{byte(seed)})
		garbage := make([]byte, 4<<10)
		_, _ = random.Read(garbage) // never fails
		if _, err := link.Write(garbage); err != nil {
			return err
		}
		_, err := link.Read(garbage)
		return err
	}
}

// claim announces the version that an update leads to and answers each pull with
// the update.
func claim(update *wire.Update) misbehaviour {
	return func(_ context.Context, link net.Conn, frames *wire.Reader) error {
		if err := send(link, &wire.Announce{Version: wire.Short(update.Target)}); err != nil {
			return err
		}
		for {
			message, _, err := frames.Next()
			if err != nil {
				return err
			}
			if _, ok := message.(*wire.Pull); !ok {
				continue
			}
			if err := send(link, update); err != nil {
				return err
			}
		}
	}
}

// replay sends old documents and announcements over and over, asked or not.
func replay(old []*snapshot.Document) misbehaviour {
	return func(ctx context.Context, link net.Conn, _ *wire.Reader) error {
		const pause = 50 * time.Millisecond
		for i := 0; ; i++ {
			document := old[i%len(old)]
			update := wholeUpdate(document)
			announce := &wire.Announce{Version: wire.Short(document.Version())}
			for _, message := range []wire.Message{announce, update, update} {
				if err := send(link, message); err != nil {
					return err
				}
			}
			if err := wait.For(ctx, pause); err != nil {
				return err
			}
		}
	}
}

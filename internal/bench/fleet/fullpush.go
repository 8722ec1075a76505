package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wait"
	"github.com/winchhead/winchhead/internal/wire"
)

// Settings of the baseline "full-push".
const (
	// pushers is the number of readers: one a zone. More would cost more bytes.
	pushers = 8
	// pushWait is how long the platform holds a question for a new revision.
	pushWait = 20 * time.Second
	// pushRetry is the wait after a failure.
	pushRetry = 500 * time.Millisecond
)

// fullPusher is the baseline in which each reader of the platform sends each new
// document as a whole to all nodes.
type fullPusher struct {
	node     *simulatedNode
	running  *runningNode
	listener net.Listener

	mutex sync.Mutex // an offer at a time
}

func fullPushing(node *simulatedNode, running *runningNode, listener net.Listener) (runner, error) {
	owned := &processListener{Listener: listener, process: running.process, traffic: node.fleet.traffic}
	return &fullPusher{node: node, running: running, listener: owned}, nil
}

// Run implements runner.
func (p *fullPusher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return p.listener.Close()
	})
	group.Go(func() error {
		p.accept(ctx)
		return nil
	})
	if p.node.at.node < pushers {
		group.Go(func() error { return p.read(ctx) })
	}
	return group.Wait()
}

// accept takes documents from readers until the listener closes.
func (p *fullPusher) accept(ctx context.Context) {
	var links sync.WaitGroup
	defer links.Wait()
	for {
		link, err := p.listener.Accept()
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { link.Close() })
		links.Go(func() {
			defer stop()
			defer link.Close()
			p.take(link)
		})
	}
}

// take puts the documents of one reader in force.
func (p *fullPusher) take(link net.Conn) {
	frames := wire.NewReader(link, wire.Limits{})
	for {
		message, _, err := frames.Next()
		if err != nil {
			return
		}
		if update, ok := message.(*wire.Update); ok {
			p.adopt(snapshot.Delta{Target: update.Target, Changed: update.Changed})
		}
	}
}

func (p *fullPusher) adopt(delta snapshot.Delta) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !delta.Target.Newer(p.running.adopter.store.HighWater()) {
		return
	}
	document, err := delta.Apply(nil)
	if err == nil {
		err = p.running.offer(document)
	}
	if err != nil {
		p.node.fleet.journal.breach(err.Error())
	}
}

// read asks the platform for new documents and sends them to all nodes.
func (p *fullPusher) read(ctx context.Context) error {
	links := make(map[int]net.Conn)
	var held snapshot.Version
	for ctx.Err() == nil {
		document, fresh := p.await(ctx, held)
		if !fresh {
			_ = wait.For(ctx, pushRetry) // only ctx ends it early, and so the loop
			continue
		}
		held = document.Version()
		p.adopt(snapshot.Diff(nil, document))
		frame, err := wire.Encode(wholeUpdate(document))
		if err != nil {
			return err
		}
		p.sendToAll(ctx, links, frame)
	}
	return nil
}

// wholeUpdate is the message that carries all of a document.
func wholeUpdate(document *snapshot.Document) *wire.Update {
	return &wire.Update{Target: document.Version(), Changed: document.Resources()}
}

// await returns the next document of the platform.
func (p *fullPusher) await(ctx context.Context, held snapshot.Version) (*snapshot.Document, bool) {
	client := p.running.client
	if _, outcome := client.AwaitRevision(ctx, held.Revision, pushWait); outcome.Status != source.StatusFresh {
		return nil, false
	}
	document, outcome := client.Fetch(ctx, held)
	return document, outcome.Status == source.StatusFresh
}

// sendToAll writes a frame on a link to every other node, opening those that are
// missing.
func (p *fullPusher) sendToAll(ctx context.Context, links map[int]net.Conn, frame []byte) {
	var mutex sync.Mutex
	var group errgroup.Group
	for _, to := range p.node.fleet.nodes {
		index, address := to.at.node, to.address
		if index == p.node.at.node {
			continue
		}
		group.Go(func() error {
			mutex.Lock()
			link := links[index]
			mutex.Unlock()
			for link == nil {
				opened, err := p.node.dialPeer(p.running.process)(ctx, address)
				if err == nil {
					link = opened
				} else if wait.For(ctx, pushRetry) != nil {
					return err
				}
			}
			mutex.Lock()
			links[index] = link
			mutex.Unlock()
			_, err := link.Write(frame)
			return err
		})
	}
	_ = group.Wait() // a node that cannot be reached shows as not converged
}

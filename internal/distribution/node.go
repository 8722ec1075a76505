package distribution

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/suspects"
)

const (
	// eventQueue is how many events may wait for the engine before those who
	// bring them wait too.
	eventQueue = 64
	// maxGreetings bounds the incoming connections that have not said who they are.
	maxGreetings = 64
	// firstIncomingLink is even, as Engine takes the odd numbers.
	firstIncomingLink = 2
)

// Options sets up a Node.
type Options struct {
	Self membership.Record
	// ListenAddress is where links of other nodes are taken (IP:port). Listener
	// wins over it; the Node closes it.
	ListenAddress string
	Listener      net.Listener
	// TLS secures links in both directions; nil leaves them plain. It has to check
	// peers by itself, as addresses change hands.
	TLS           *tls.Config
	Configuration source.ConfigurationReader
	Members       source.MemberReader
	Adopter       Adopter
	Logger        logrus.FieldLogger
	// Seed makes random choices differ between nodes; zero takes the incarnation.
	Seed   uint64
	Timing Timing
	// Now tells the time; nil takes clock.Now, so that a node notices when its machine was
	// suspended and asks its peers before it relies on what it believes.
	Now func() time.Time
	// Dial opens connections to peers; nil dials TCP.
	Dial           func(ctx context.Context, address string) (net.Conn, error)
	ReadersPerZone int
	MaxLinks       int
	// SourceIsCurrent is EngineOptions.SourceIsCurrent.
	SourceIsCurrent bool
	// Hold, if set, is called before each event is handled and holds the node up
	// while it does not return: benches freeze a node with it, as a machine that
	// pauses a process does.
	Hold func()
	// ServeClaims, if set, serves an incoming connection of wire.PurposeClaim until
	// the stream ends; nil refuses such connections.
	ServeClaims func(stream *ClaimStream)
	// CrashesLearned, if set, takes records of crashed instances that came from other nodes.
	// It must not block.
	CrashesLearned func(crashes []suspects.Crash)
	// FleetChangesLearned, if set, takes changes of instances and evacuations ahead of the documents
	// that hold them, those that this node read from the source included. It must not block.
	FleetChangesLearned func(changes []AgedChange)
	// Generation tells the local generation for Status; nil: none.
	Generation func() uint64
}

// Node runs an Engine over TCP links.
type Node struct {
	options  Options
	logger   logrus.FieldLogger
	engine   *Engine // owned by the goroutine of Run
	listener net.Listener
	counters counters
	events   chan Event
	status   atomic.Pointer[engineStatus]
	view     atomic.Pointer[membership.View]

	connections map[LinkID]*connection        // owned by the goroutine of Run
	cancels     map[LinkID]context.CancelFunc // dials on their way; the same
	requests    map[RequestID]context.CancelFunc
	followUps   []Event
	incoming    atomic.Uint64
	running     sync.WaitGroup
	greetings   chan struct{}
	claims      chan struct{} // one for each claim connection served
	done        chan struct{}
}

// NewNode returns a Node that listens already; Run does the rest.
func NewNode(options Options) (*Node, error) {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	if options.Seed == 0 {
		options.Seed = uint64(options.Self.Incarnation)
	}
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	listener := options.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", options.ListenAddress); err != nil {
			return nil, eris.Wrap(err, "listen for peers")
		}
	}
	if options.Self.PeerAddress == "" {
		options.Self.PeerAddress = listener.Addr().String()
	}
	n := &Node{
		options:  options,
		logger:   options.Logger,
		listener: listener,
		events:   make(chan Event, eventQueue),
		engine: NewEngine(EngineOptions{
			Self:           options.Self,
			Seed:           options.Seed,
			Timing:         options.Timing,
			ReadersPerZone: options.ReadersPerZone,
			MaxLinks:       options.MaxLinks,

			SourceIsCurrent: options.SourceIsCurrent,
		}),
		connections: make(map[LinkID]*connection),
		cancels:     make(map[LinkID]context.CancelFunc),
		requests:    make(map[RequestID]context.CancelFunc),
		greetings:   make(chan struct{}, maxGreetings),
		claims:      make(chan struct{}, maxClaimConnections),
		done:        make(chan struct{}),
	}
	n.view.Store(n.engine.View())
	n.publishStatus()
	return n, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Address returns where links of other nodes are taken.
func (n *Node) Address() string { return n.listener.Addr().String() }

// View returns the current picture of the fleet.
func (n *Node) View() *membership.View { return n.view.Load() }

// SetState publishes the state of the own instance. It has no effect once Run
// has ended.
func (n *Node) SetState(state membership.State) {
	select {
	case n.events <- SelfState{State: state}:
	case <-n.done:
	}
}

// TellCrashes tells the other nodes of crashes of instances. It has no effect once Run has
// ended.
func (n *Node) TellCrashes(crashes []suspects.Crash) {
	select {
	case n.events <- CrashesFound{Crashes: crashes}:
	case <-n.done:
	}
}

// TellFleetChanges tells the other nodes of changes that this node has just read from the
// source. It has no effect once Run has ended.
func (n *Node) TellFleetChanges(changes []snapshot.Change) {
	select {
	case n.events <- FleetChangesRead{Changes: changes}:
	case <-n.done:
	}
}

// Run links the node with its peers until ctx ends. It then publishes that the
// instance is gone, closes the links with Goodbye and returns nil.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	// The links outlive ctx, so that the farewell is still written.
	links, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.running.Go(func() { n.accept(links) })
	n.loop(ctx, links)
	_ = n.listener.Close()
	n.perform(links, n.engine.Handle(n.options.Now(), Stop{}))
	cancel()
	n.running.Wait()
	return nil
}

// loop feeds the engine until ctx ends.
func (n *Node) loop(ctx, links context.Context) {
	n.handle(links, Tick{})
	timer := time.NewTimer(n.untilWake())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-n.events:
			n.handle(links, event)
		case <-timer.C:
			n.handle(links, Tick{})
		}
		timer.Reset(n.untilWake())
	}
}

// untilWake is how long the engine wants to be left alone.
func (n *Node) untilWake() time.Duration { return n.engine.NextWake().Sub(n.options.Now()) }

func (n *Node) handle(ctx context.Context, event Event) {
	if n.options.Hold != nil {
		n.options.Hold()
	}
	for event != nil {
		n.track(event)
		n.perform(ctx, n.engine.Handle(n.options.Now(), event))
		if begun, ok := event.(opened); ok && !n.engine.hasLink(begun.connection.id) {
			n.closeLink(begun.connection.id) // given up while it was being opened
		}
		event = n.nextFollowUp()
	}
	n.publishStatus()
}

// nextFollowUp returns an event that followed from performing actions.
func (n *Node) nextFollowUp() Event {
	if len(n.followUps) == 0 {
		return nil
	}
	event := n.followUps[0]
	n.followUps = n.followUps[1:]
	return event
}

// track keeps account of connections and requests that begin or end.
func (n *Node) track(event Event) {
	switch event := event.(type) {
	case opened:
		n.connections[event.connection.id] = event.connection
		delete(n.cancels, event.connection.id)
	case LinkDown:
		n.forget(event.Link)
	case DialFailed:
		n.forget(event.Link)
	case requestEnded:
		delete(n.requests, event.request)
	}
}

// post brings an event to the engine, unless the node ends.
func (n *Node) post(ctx context.Context, event Event) {
	select {
	case n.events <- event:
	case <-ctx.Done():
	}
}

// perform does what the engine asks for. Nothing here blocks.
func (n *Node) perform(ctx context.Context, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			n.sendFrame(action)
		case Dial:
			n.dial(ctx, action)
		case CloseLink:
			n.closeLink(action.Link)
		case AwaitSource:
			n.awaitSource(ctx, action)
		case FetchSource:
			n.fetchSource(ctx, action)
		case FetchMembers:
			n.fetchMembers(ctx, action)
		case CancelRequest:
			n.cancelRequest(action.Request)
		case Adopt:
			n.adopt(ctx, action)
		case FleetChanged:
			n.view.Store(action.View)
			n.options.Adopter.FleetChanged(action.View)
		case CrashesLearned:
			if n.options.CrashesLearned != nil {
				n.options.CrashesLearned(action.Crashes)
			}
		case FleetChangesLearned:
			if n.options.FleetChangesLearned != nil {
				n.options.FleetChangesLearned(action.Changes)
			}
		case Log:
			n.log(action)
		}
	}
}

func (n *Node) log(action Log) {
	switch action.Level {
	case LogDebug:
		n.logger.Debug(action.Text)
	case LogWarning:
		n.logger.Warn(action.Text)
	default:
		n.logger.Info(action.Text)
	}
}

// adopt compiles in its own goroutine; the engine asks for one at a time.
func (n *Node) adopt(ctx context.Context, action Adopt) {
	n.running.Go(func() {
		err := n.options.Adopter.Adopt(action.Document)
		if err == nil {
			n.counters.adopted.Add(1)
		} else {
			n.counters.refused.Add(1)
		}
		n.post(ctx, AdoptResult{Version: action.Document.Version(), Err: err})
	})
}

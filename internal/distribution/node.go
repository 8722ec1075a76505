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
	// eventQueueLength is the number of events that are queued for the engine before
	// their senders block.
	eventQueueLength = 64
	// maxPendingHellos bounds the incoming connections that have not sent a Hello yet.
	maxPendingHellos = 64
	// firstIncomingLink is even, as Engine assigns the odd numbers.
	firstIncomingLink = 2
)

// Options configures a Node.
type Options struct {
	Self membership.Record
	// ListenAddress is the address on which links from other nodes are accepted
	// (IP:port). Listener, if set, takes precedence; the Node closes it.
	ListenAddress string
	Listener      net.Listener
	// TLS encrypts links in both directions; nil leaves them unencrypted. It must
	// verify peers independently of their address, as addresses are reused.
	TLS           *tls.Config
	Configuration source.ConfigurationReader
	Members       source.MemberReader
	Adopter       Adopter
	Logger        logrus.FieldLogger
	// Seed makes random choices differ between nodes; zero uses the incarnation.
	Seed   uint64
	Timing Timing
	// Now returns the time; nil uses clock.Now, with which a node notices that its machine was
	// suspended, and checks with its peers before it relies on its state.
	Now func() time.Time
	// Dial opens connections to peers; nil uses TCP.
	Dial           func(ctx context.Context, address string) (net.Conn, error)
	ReadersPerZone int
	MaxLinks       int
	// SourceIsCurrent is EngineOptions.SourceIsCurrent.
	SourceIsCurrent bool
	// BeforeEvent, if set, is called before each event is handled and blocks the node until
	// it returns. Benchmarks use it to simulate a paused process.
	BeforeEvent func()
	// ServeClaims, if set, serves an incoming connection of wire.PurposeClaim until
	// the stream ends; nil refuses such connections.
	ServeClaims func(stream *ClaimStream)
	// CrashesLearned, if set, is called with crash records from other nodes. It must not
	// block.
	CrashesLearned func(crashes []suspects.Crash)
	// FleetChangesLearned, if set, is called with changes of instances and evacuations ahead of the
	// documents that contain them, including those that this node read from the source. It must
	// not block.
	FleetChangesLearned func(changes []AgedChange)
	// Generation returns the local generation for Status; nil: none.
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

	connections   map[LinkID]*connection        // owned by the goroutine of Run
	dialCancels   map[LinkID]context.CancelFunc // dials in progress; owned by the same goroutine
	requests      map[RequestID]context.CancelFunc
	followUps     []Event
	incoming      atomic.Uint64
	running       sync.WaitGroup
	pendingHellos chan struct{}
	claimSlots    chan struct{} // one entry for each claim connection served
	done          chan struct{}
}

// NewNode returns a Node that is already listening; Run accepts connections.
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
		events:   make(chan Event, eventQueueLength),
		engine: NewEngine(EngineOptions{
			Self:           options.Self,
			Seed:           options.Seed,
			Timing:         options.Timing,
			ReadersPerZone: options.ReadersPerZone,
			MaxLinks:       options.MaxLinks,

			SourceIsCurrent: options.SourceIsCurrent,
		}),
		connections:   make(map[LinkID]*connection),
		dialCancels:   make(map[LinkID]context.CancelFunc),
		requests:      make(map[RequestID]context.CancelFunc),
		pendingHellos: make(chan struct{}, maxPendingHellos),
		claimSlots:    make(chan struct{}, maxClaimConnections),
		done:          make(chan struct{}),
	}
	n.view.Store(n.engine.View())
	n.publishStatus()
	return n, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Address returns the address on which links from other nodes are accepted.
func (n *Node) Address() string { return n.listener.Addr().String() }

// View returns the current view of the fleet.
func (n *Node) View() *membership.View { return n.view.Load() }

// SetState publishes the state of the local instance. It has no effect after Run has
// returned.
func (n *Node) SetState(state membership.State) {
	select {
	case n.events <- SelfState{State: state}:
	case <-n.done:
	}
}

// SendCrashes sends crash records of instances to the other nodes. It has no effect after Run
// has returned.
func (n *Node) SendCrashes(crashes []suspects.Crash) {
	select {
	case n.events <- CrashesFound{Crashes: crashes}:
	case <-n.done:
	}
}

// SendFleetChanges sends changes that this node has just read from the source to the other
// nodes. It has no effect after Run has returned.
func (n *Node) SendFleetChanges(changes []snapshot.Change) {
	select {
	case n.events <- FleetChangesRead{Changes: changes}:
	case <-n.done:
	}
}

// Run runs the node until ctx ends. It then publishes that the instance is gone, closes
// the links with Goodbye and returns nil.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	// The links outlive ctx, so that Goodbye is still written.
	linkContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.running.Go(func() { n.accept(linkContext) })
	n.loop(ctx, linkContext)
	_ = n.listener.Close()
	n.perform(linkContext, n.engine.Handle(n.options.Now(), Stop{}))
	cancel()
	n.running.Wait()
	return nil
}

// loop passes events and timer ticks to the engine until ctx ends.
func (n *Node) loop(ctx, linkContext context.Context) {
	n.handle(linkContext, Tick{})
	timer := time.NewTimer(n.untilWake())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-n.events:
			n.handle(linkContext, event)
		case <-timer.C:
			n.handle(linkContext, Tick{})
		}
		timer.Reset(n.untilWake())
	}
}

// untilWake returns the time until the engine's next Tick is due.
func (n *Node) untilWake() time.Duration { return n.engine.NextWake().Sub(n.options.Now()) }

func (n *Node) handle(ctx context.Context, event Event) {
	if n.options.BeforeEvent != nil {
		n.options.BeforeEvent()
	}
	for event != nil {
		n.trackEvent(event)
		n.perform(ctx, n.engine.Handle(n.options.Now(), event))
		if opened, ok := event.(linkOpened); ok && !n.engine.hasLink(opened.connection.id) {
			n.closeLink(opened.connection.id) // the engine closed the link during the dial
		}
		event = n.nextFollowUp()
	}
	n.publishStatus()
}

// nextFollowUp removes and returns the next event that performing actions caused; nil if none.
func (n *Node) nextFollowUp() Event {
	if len(n.followUps) == 0 {
		return nil
	}
	event := n.followUps[0]
	n.followUps = n.followUps[1:]
	return event
}

// trackEvent updates the maps of connections, dials and requests.
func (n *Node) trackEvent(event Event) {
	switch event := event.(type) {
	case linkOpened:
		n.connections[event.connection.id] = event.connection
		delete(n.dialCancels, event.connection.id)
	case LinkDown:
		n.forget(event.Link)
	case DialFailed:
		n.forget(event.Link)
	case requestEnded:
		delete(n.requests, event.request)
	}
}

// post queues an event for the engine, unless ctx ends first.
func (n *Node) post(ctx context.Context, event Event) {
	select {
	case n.events <- event:
	case <-ctx.Done():
	}
}

// perform carries out the engine's actions. It does not block.
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

// adopt calls the Adopter in a separate goroutine, as compiling takes long. The engine asks for
// one adoption at a time.
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

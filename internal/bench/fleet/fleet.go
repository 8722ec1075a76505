package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/emulator/platform"
	"github.com/winchhead/winchhead/internal/keys/throwaway"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Settings describe a simulated fleet. Zero fields take defaults.
type Settings struct {
	Nodes  int
	Delays Delays
	// MutualTLS gives every node throwaway keys.
	MutualTLS bool
	Seed      uint64
	// MemberLag is how long the platform's list lags.
	MemberLag time.Duration
	// MaxReaders is how many nodes the platform lets read the configuration.
	MaxReaders     int
	ReadersPerZone int
	MaxLinks       int
	Timing         distribution.Timing
}

// Defaults of Settings.
const (
	defaultNodes      = 710
	defaultMemberLag  = 2 * time.Second
	defaultMaxReaders = 40
)

func (s Settings) withDefaults() Settings {
	if s.Nodes <= 0 {
		s.Nodes = defaultNodes
	}
	if s.Delays == (Delays{}) {
		s.Delays = DefaultDelays()
	}
	if s.MemberLag <= 0 {
		s.MemberLag = defaultMemberLag
	}
	if s.MaxReaders <= 0 {
		s.MaxReaders = defaultMaxReaders
	}
	if s.Timing == (distribution.Timing{}) {
		s.Timing = distribution.DefaultTiming()
	}
	return s
}

// Fleet is a set of simulated nodes with their platform. One goroutine drives
// it.
type Fleet struct {
	settings  Settings
	network   *Network
	traffic   *Traffic
	journal   *Journal
	platform  *platformServer
	strategy  strategy
	authority *throwaway.Authority
	block     net.Listener // holds the range of addresses
	nodes     []*simulatedNode
}

// New prepares a fleet, of which no node runs yet. Close ends it.
func New(settings Settings) (*Fleet, error) {
	settings = settings.withDefaults()
	f := &Fleet{
		settings: settings,
		network:  NewNetwork(settings.Delays),
		traffic:  &Traffic{},
		journal:  NewJournal(),
		strategy: distributed,
	}
	number, err := f.takeBlock()
	if err != nil {
		return nil, err
	}
	f.addNodes(number)
	err = f.issueKeys()
	if err == nil {
		err = f.startPlatform()
	}
	if err != nil {
		f.block.Close()
		return nil, err
	}
	return f, nil
}

// issueKeys gives every node throwaway keys, ahead of its start, if the fleet
// uses TLS.
func (f *Fleet) issueKeys() error {
	if !f.settings.MutualTLS {
		return nil
	}
	authority, err := throwaway.NewAuthority()
	if err != nil {
		return err
	}
	f.authority = authority
	return f.each(f.all(), func(node *simulatedNode) error {
		var err error
		node.keys, err = f.issue(nodeName(node.at.node))
		return err
	})
}

// takeBlock finds a range of loopback addresses that no other fleet uses.
func (f *Fleet) takeBlock() (int, error) {
	const blocks = 100
	for number := range blocks {
		listener, err := net.Listen("tcp", blockAddress(number))
		if err == nil {
			f.block = listener
			return number, nil
		}
	}
	return 0, eris.New("no free range of loopback addresses")
}

func (f *Fleet) addNodes(block int) {
	for index := range f.settings.Nodes {
		node := &simulatedNode{
			fleet:   f,
			at:      endpoint{node: index, Location: locationOf(index)},
			address: peerAddress(block, index),
		}
		f.nodes = append(f.nodes, node)
		f.network.place(node.address, node.at)
	}
}

func (f *Fleet) startPlatform() error {
	var members []membership.ListedMember
	for _, node := range f.nodes {
		members = append(members, node.listing(membership.ListedLive))
	}
	emulated, err := platform.New(platform.Options{
		Content:    initialContent(),
		Members:    members,
		MemberLag:  f.settings.MemberLag,
		MaxReaders: f.settings.MaxReaders,
	})
	if err != nil {
		return err
	}
	f.platform, err = servePlatform(emulated)
	if err != nil {
		return err
	}
	f.network.place(f.platform.address, platformEnd())
	_, err = f.journal.publish(func() (snapshot.Version, error) { return emulated.Version(), nil })
	return err
}

// Start runs one process of each of the given nodes, all at about the same time.
func (f *Fleet) Start(nodes ...int) error {
	return f.each(nodes, func(node *simulatedNode) error {
		f.platform.PutMember(node.listing(membership.ListedLive))
		return node.start()
	})
}

// Kill ends the processes of the given nodes without a goodbye. The platform's
// list notices after its lag.
func (f *Fleet) Kill(nodes ...int) error {
	return f.each(nodes, func(node *simulatedNode) error {
		f.platform.RemoveMember(node.listing(membership.ListedLive).Node)
		f.journal.ended(node.at.node)
		return node.kill()
	})
}

// Pause freezes the processes of the given nodes.
func (f *Fleet) Pause(nodes ...int) {
	for _, index := range nodes {
		f.nodes[index].running.process.pause()
	}
}

// Resume wakes them.
func (f *Fleet) Resume(nodes ...int) {
	for _, index := range nodes {
		f.nodes[index].running.process.resume()
	}
}

// Publish makes the platform accept a change of the configuration.
func (f *Fleet) Publish(edit func(*snapshot.Content) error) (snapshot.Version, error) {
	return f.journal.publish(func() (snapshot.Version, error) { return f.platform.Change(edit) })
}

// AwaitVersion waits until every running node holds the version.
func (f *Fleet) AwaitVersion(ctx context.Context, version snapshot.Version) error {
	return f.journal.await(ctx, f.running(), version)
}

// all returns all nodes.
func (f *Fleet) all() []int {
	all := make([]int, len(f.nodes))
	for index := range all {
		all[index] = index
	}
	return all
}

// running returns the nodes of which a process runs.
func (f *Fleet) running() []int {
	var running []int
	for index, node := range f.nodes {
		if node.running != nil {
			running = append(running, index)
		}
	}
	return running
}

// Close ends all nodes and the platform.
func (f *Fleet) Close() error {
	f.network.Partition(nil)
	err := f.each(f.running(), (*simulatedNode).kill)
	f.platform.close()
	f.block.Close()
	return err
}

// each runs a step for each of the given nodes at once.
func (f *Fleet) each(nodes []int, step func(*simulatedNode) error) error {
	var group errgroup.Group
	for _, index := range nodes {
		group.Go(func() error { return step(f.nodes[index]) })
	}
	return group.Wait()
}

// platformServer serves an emulated platform.
type platformServer struct {
	*platform.Platform
	server  *http.Server
	address string
	url     string
}

func servePlatform(emulated *platform.Platform) (*platformServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for the platform")
	}
	served := &platformServer{
		Platform: emulated,
		server:   &http.Server{Handler: emulated.Handler()},
		address:  listener.Addr().String(),
	}
	served.url = "http://" + served.address
	go func() { _ = served.server.Serve(listener) }() // ends with close
	return served, nil
}

func (p *platformServer) close() { _ = p.server.Close() }

package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wait"
)

// trial is one fault case under way.
type trial struct {
	*Fleet
	options FaultsOptions
	row     *FaultRow
	changes int
}

// coldStart is the step in which all nodes of a case start.
const coldStart = "cold start"

func (t *trial) fail(err error) { t.row.Faults = append(t.row.Faults, err.Error()) }

// step waits for the fleet to converge and notes how long it took.
func (t *trial) step(name string, wait func() error) error {
	began := time.Now()
	err := wait()
	took := time.Since(began)
	t.row.Steps = append(t.row.Steps, FaultStep{Name: name, Seconds: took.Seconds()})
	if name == coldStart {
		return eris.Wrap(err, name)
	}
	t.row.StepSecondsMax = max(t.row.StepSecondsMax, took.Seconds())
	if err == nil && took > t.options.StepLimit {
		t.fail(eris.Errorf("%s: took %.1f s, the limit is %s", name, took.Seconds(), t.options.StepLimit))
	}
	return eris.Wrap(err, name)
}

// scaled is a duration that a case names, shortened by the scale of the run.
func (t *trial) scaled(named time.Duration) time.Duration {
	return time.Duration(float64(named) * t.options.Scale)
}

func (t *trial) startAll(ctx context.Context) error {
	return t.step(coldStart, func() error {
		if err := t.Start(t.all()...); err != nil {
			return err
		}
		return t.awaitOn(ctx, t.all(), t.platform.Version())
	})
}

// change publishes one change.
func (t *trial) change() (snapshot.Version, error) {
	t.changes++
	return t.Publish(changeOneService(t.changes))
}

// changeOn publishes a change and waits until the given nodes hold it.
func (t *trial) changeOn(ctx context.Context, name string, nodes []int) error {
	return t.step(name, func() error {
		version, err := t.change()
		if err != nil {
			return err
		}
		return t.awaitOn(ctx, nodes, version)
	})
}

// converge waits until all running nodes hold what the platform holds.
func (t *trial) converge(ctx context.Context, name string) error {
	return t.step(name, func() error { return t.awaitOn(ctx, t.running(), t.platform.Version()) })
}

func (t *trial) awaitOn(ctx context.Context, nodes []int, version snapshot.Version) error {
	ctx, cancel := context.WithTimeout(ctx, t.options.Patience)
	defer cancel()
	return t.journal.await(ctx, nodes, version)
}

// try runs the case and makes a further change after it.
func (t *trial) try(ctx context.Context, tried faultCase) error {
	if err := t.startAll(ctx); err != nil {
		return err
	}
	if err := tried.run(ctx, t); err != nil {
		return err
	}
	return t.changeOn(ctx, "a change afterwards", t.running())
}

// checkAfter checks what must hold after any case.
func (t *trial) checkAfter(ctx context.Context) {
	for _, breach := range t.journal.Breaches() {
		t.fail(eris.New(breach))
	}
	t.checkAllWhole(ctx)
	statistics := t.platform.Statistics()
	t.row.SourceReadersMax = statistics.AskingMax
	t.row.SourceReadersLimit = t.options.MaxReaders
	if statistics.AskingMax > t.options.MaxReaders {
		t.fail(eris.Errorf("%d nodes asked the platform at one time, the limit is %d",
			statistics.AskingMax, t.options.MaxReaders))
	}
}

func (t *trial) checkAllWhole(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Patience)
	defer cancel()
	for _, index := range t.running() {
		if err := t.nodes[index].running.checkWhole(ctx); err != nil {
			t.fail(eris.Wrap(err, nodeName(index)))
		}
	}
}

// checkWhole checks that the snapshot in force holds all it refers to, and that
// the node comes to report its version.
func (n *runningNode) checkWhole(ctx context.Context) error {
	current := n.adopter.store.Current()
	if current == nil {
		return eris.New("holds nothing")
	}
	const pause = 5 * time.Millisecond // the node reports a version soon after it is in force
	for n.node.Status().Held != current.Version() {
		if wait.For(ctx, pause) != nil {
			return eris.Errorf("holds %s and reports %s", current.Version(), n.node.Status().Held)
		}
	}
	return current.Consistent()
}

// sample returns a random part of the running nodes.
func (t *trial) sample(share float64) []int {
	nodes := t.running()
	random := rand.New(rand.NewPCG(t.options.Seed, uint64(len(t.row.Steps))))
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:max(int(share*float64(len(nodes))), 1)]
}

// readers returns the nodes that read the platform now.
func (t *trial) readers() []int {
	var readers []int
	for _, index := range t.running() {
		if t.nodes[index].running.node.Status().Reader {
			readers = append(readers, index)
		}
	}
	return readers
}

// where returns the running nodes in locations that match.
func (t *trial) where(matches func(Location) bool) []int {
	var nodes []int
	for _, index := range t.running() {
		if matches(t.nodes[index].at.Location) {
			nodes = append(nodes, index)
		}
	}
	return nodes
}

func inZone(zone string) func(Location) bool {
	return func(at Location) bool { return at.Zone == zone }
}

func inRegion(region string) func(Location) bool {
	return func(at Location) bool { return at.Region == region }
}

func not(matches func(Location) bool) func(Location) bool {
	return func(at Location) bool { return !matches(at) }
}

// cutOff separates the locations that match from all others, the platform
// included.
func (t *trial) cutOff(matches func(Location) bool) {
	t.network.Partition(func(a, b endpoint) bool { return matches(a.Location) != matches(b.Location) })
}

func (t *trial) heal() { t.network.Partition(nil) }

// holdNone checks that no given node holds the version.
func (t *trial) holdNone(nodes []int, version snapshot.Version) error {
	for _, index := range nodes {
		if held := t.nodes[index].running.adopter.store.HighWater(); held == version {
			return eris.Errorf("%s holds %s, which it cannot have got", nodeName(index), version)
		}
	}
	return nil
}

func (t *trial) log(format string, arguments ...any) {
	t.options.Progress(fmt.Sprintf("  "+format, arguments...))
}

package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wait"
)

// Names of the baselines.
const (
	BaselinePoll     = "poll"
	BaselineFullPush = "full-push"
)

// ConvergeOptions set up a measurement. Zero fields take defaults.
type ConvergeOptions struct {
	Settings
	// Changes is how many one-service changes are made, one after another.
	Changes int
	// Gap is the time between the end of one change and the next.
	Gap time.Duration
	// Settle passes between the cold start and the idle window of length Idle.
	Settle, Idle time.Duration
	// Patience bounds the wait for one change, or the cold start, to be in force.
	Patience time.Duration
	// Baselines are measured as well: BaselinePoll, BaselineFullPush.
	Baselines []string
	// BaselineChanges bounds the changes made with a baseline.
	BaselineChanges int
	// PollInterval is that of BaselinePoll.
	PollInterval time.Duration
	// Progress, if set, is told what the measurement is at.
	Progress func(line string)
}

// Defaults of ConvergeOptions.
const (
	defaultChanges         = 20
	defaultGap             = 500 * time.Millisecond
	defaultSettle          = 15 * time.Second
	defaultIdle            = 30 * time.Second
	defaultPatience        = 90 * time.Second
	defaultBaselineChanges = 5
	defaultPollInterval    = 5 * time.Second
)

func (o ConvergeOptions) withDefaults() ConvergeOptions {
	o.Settings = o.Settings.withDefaults()
	o.Changes = orDefault(o.Changes, defaultChanges)
	o.Gap = orDefault(o.Gap, defaultGap)
	o.Settle = orDefault(o.Settle, defaultSettle)
	o.Idle = orDefault(o.Idle, defaultIdle)
	o.Patience = orDefault(o.Patience, defaultPatience)
	o.BaselineChanges = orDefault(o.BaselineChanges, defaultBaselineChanges)
	o.PollInterval = orDefault(o.PollInterval, defaultPollInterval)
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	return o
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Converge starts a fleet cold, leaves it idle, makes one change after another
// and reports how fast and at what cost each came into force on every node. It
// fails when a change does not come into force everywhere; broken promises are
// in the report.
func Converge(ctx context.Context, options ConvergeOptions) (*Report, error) {
	options = options.withDefaults()
	measured, err := measure(ctx, options, distributed)
	if err != nil {
		return nil, err
	}
	report := measured.report()
	for _, name := range options.Baselines {
		baseline, err := measureBaseline(ctx, options, name)
		if err != nil {
			return nil, eris.Wrapf(err, "baseline %s", name)
		}
		report.Baselines = append(report.Baselines, *baseline)
	}
	return report, nil
}

func measureBaseline(ctx context.Context, options ConvergeOptions, name string) (*Baseline, error) {
	options.Changes = min(options.Changes, options.BaselineChanges)
	options.MaxReaders = 2 * options.Nodes // a baseline is not held to the limit
	var chosen strategy
	var conditions string
	switch name {
	case BaselinePoll:
		chosen = polling(options.PollInterval)
		conditions = fmt.Sprintf("each node asks the platform every %s; the platform sets no limit", options.PollInterval)
	case BaselineFullPush:
		chosen = fullPushing
		conditions = fmt.Sprintf("%d readers each send the whole document to every node on links kept open", pushers)
	default:
		return nil, eris.Errorf("unknown baseline: want %s or %s", BaselinePoll, BaselineFullPush)
	}
	options.Progress("baseline " + name)
	measured, err := measure(ctx, options, chosen)
	if err != nil {
		return nil, err
	}
	report := measured.report()
	return &Baseline{
		Strategy:                     name,
		Changes:                      report.Changes,
		ConvergenceSeconds:           report.ConvergenceSeconds,
		ControlBytesPerNodePerSecond: report.ControlBytesPerNodePerSecond,
		BytesPerNodePerChange:        report.BytesPerNodePerChange,
		SourceReadersMax:             report.SourceReadersMax,
		CPUCoreSharePerNode:          report.CPUCoreSharePerNode,
		Conditions:                   conditions,
		delays:                       report.delays,
	}, nil
}

// measurement is one run of a strategy.
type measurement struct {
	options ConvergeOptions
	fleet   *Fleet

	memoryBefore, memoryAfter uint64
	coldStart                 time.Duration
	idle, changing            window
	first, last               snapshot.Revision
	deltaBytes                int
	kinds                     []KindBytes
	timeline                  []TimelinePoint
}

// window is a span of time with what was used in it.
type window struct {
	usageBefore, usageAfter     usage
	trafficBefore, trafficAfter TrafficTotals
}

func (w *window) seconds() float64 { return w.usageAfter.at.Sub(w.usageBefore.at).Seconds() }

func (w *window) bytesPerNode(nodes int) float64 {
	return w.trafficAfter.perNode(w.trafficBefore, nodes)
}

// measure runs a fleet with a strategy through cold start, idling and changes.
func measure(ctx context.Context, options ConvergeOptions, chosen strategy) (*measurement, error) {
	m := &measurement{options: options, memoryBefore: memoryInUse()}
	started, err := New(options.Settings)
	if err != nil {
		return nil, err
	}
	started.strategy = chosen
	m.fleet = started
	stopSampling := m.sample()
	err = m.run(ctx)
	stopSampling()
	if closeErr := started.Close(); err == nil {
		err = closeErr
	}
	return m, err
}

func (m *measurement) run(ctx context.Context) error {
	if err := m.startCold(ctx); err != nil {
		return err
	}
	if err := wait.For(ctx, m.options.Settle); err != nil {
		return err
	}
	m.options.Progress(fmt.Sprintf("idle for %s", m.options.Idle))
	err := m.during(&m.idle, func() error { return wait.For(ctx, m.options.Idle) })
	if err != nil {
		return err
	}
	m.memoryAfter = memoryInUse()
	kindsBefore := m.fleet.bytesByKind()
	err = m.during(&m.changing, func() error { return m.makeChanges(ctx) })
	m.kinds = m.fleet.bytesByKind().since(kindsBefore)
	return err
}

// during notes what is used while step runs.
func (m *measurement) during(w *window, step func() error) error {
	var err error
	w.trafficBefore = m.fleet.traffic.Totals()
	if w.usageBefore, err = currentUsage(); err != nil {
		return err
	}
	if err = step(); err != nil {
		return err
	}
	w.trafficAfter = m.fleet.traffic.Totals()
	w.usageAfter, err = currentUsage()
	return err
}

func (m *measurement) startCold(ctx context.Context) error {
	m.options.Progress(fmt.Sprintf("cold start of %d nodes", m.options.Nodes))
	began := time.Now()
	if err := m.fleet.Start(m.fleet.all()...); err != nil {
		return err
	}
	if err := m.await(ctx, m.fleet.platform.Version()); err != nil {
		return eris.Wrap(err, "cold start")
	}
	m.coldStart = time.Since(began)
	m.options.Progress(fmt.Sprintf("all hold the first version after %s", m.coldStart.Round(time.Millisecond)))
	return nil
}

func (m *measurement) makeChanges(ctx context.Context) error {
	m.first = m.fleet.platform.Version().Revision + 1
	for change := range m.options.Changes {
		before := m.fleet.platform.Content()
		version, err := m.fleet.Publish(changeOneService(change))
		if err != nil {
			return err
		}
		if err := m.await(ctx, version); err != nil {
			return eris.Wrapf(err, "change %d", change+1)
		}
		m.last = version.Revision
		size, err := deltaSize(before, m.fleet.platform.Content())
		if err != nil {
			return err
		}
		m.deltaBytes += size
		m.options.Progress(fmt.Sprintf("change %d of %d is in force everywhere", change+1, m.options.Changes))
		if err := wait.For(ctx, m.options.Gap); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) await(ctx context.Context, version snapshot.Version) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.Patience)
	defer cancel()
	return m.fleet.AwaitVersion(ctx, version)
}

func deltaSize(before, after snapshot.Content) (int, error) {
	base, err := snapshot.NewDocument(before)
	if err != nil {
		return 0, err
	}
	target, err := snapshot.NewDocument(after)
	if err != nil {
		return 0, err
	}
	return snapshot.Diff(base, target).Size(), nil
}

// samplingInterval is the time between two points of the timeline.
const samplingInterval = time.Second

// sample records the traffic until the returned function is called.
func (m *measurement) sample() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		began := time.Now()
		before, at := m.fleet.traffic.Totals(), began
		for wait.For(ctx, samplingInterval) == nil {
			totals, now := m.fleet.traffic.Totals(), time.Now()
			rate := totals.perNode(before, m.options.Nodes) / now.Sub(at).Seconds()
			m.timeline = append(m.timeline, TimelinePoint{SinceStart: now.Sub(began), BytesPerNodePerSecond: rate})
			before, at = totals, now
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// report works out the figures.
func (m *measurement) report() *Report {
	nodes := m.options.Nodes
	changes := float64(m.options.Changes)
	idleRate := m.idle.bytesPerNode(nodes) / m.idle.seconds()
	changingBytes := m.changing.bytesPerNode(nodes)
	breaches := m.fleet.journal.Breaches()
	delays := m.fleet.journal.delays(m.first, m.last)
	return &Report{
		Nodes:              nodes,
		Changes:            m.options.Changes,
		ConvergenceSeconds: quantilesOf(delays),
		ControlBytesPerNodePerSecond: Rates{
			Idle:     idleRate,
			Changing: changingBytes / m.changing.seconds(),
		},
		BytesPerNodePerChange:   (changingBytes - idleRate*m.changing.seconds()) / changes,
		DeltaBytesPerChange:     float64(m.deltaBytes) / changes,
		SourceReadersMax:        m.fleet.platform.Statistics().AskingMax,
		SourceReadersLimit:      m.options.MaxReaders,
		CPUCoreSharePerNode:     m.changing.usageAfter.coreShare(m.changing.usageBefore, nodes),
		CPUCoreSharePerNodeIdle: m.idle.usageAfter.coreShare(m.idle.usageBefore, nodes),
		MemoryBytesPerNode:      (float64(m.memoryAfter) - float64(m.memoryBefore)) / float64(nodes),
		VersionRegressions:      len(breaches),
		Breaches:                breaches,
		ColdStartSeconds:        m.coldStart.Seconds(),
		BytesByKind:             m.kinds,
		Conditions:              m.conditions(),
		Timeline:                m.timeline,
		delays:                  delays,
	}
}

func (m *measurement) conditions() Conditions {
	return Conditions{
		ZoneDelaySeconds:   m.options.Delays.Zone.Seconds(),
		RegionDelaySeconds: m.options.Delays.Region.Seconds(),
		Regions:            len(regionNames),
		Zones:              len(locations()),
		Services:           serviceCount,
		Routes:             serviceCount * routesPerService,
		MutualTLS:          m.options.MutualTLS,
		Seed:               m.options.Seed,
		IdleSeconds:        m.idle.seconds(),
		ChangingSeconds:    m.changing.seconds(),
		Notes: []string{
			"each document is compiled once for all nodes, not once a node",
			"processor time and memory are those of the whole process, emulated platform and simulated network included",
			"bytes are received and sent together, at the socket, without the headers of TCP and IP",
		},
	}
}

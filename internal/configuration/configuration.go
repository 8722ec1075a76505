// Package configuration applies configuration documents on one node. It compiles
// them with package policy, damps changes in the results of their conditions, and
// swaps the snapshot that the proxies read. Package distribution transfers the
// documents between nodes.
package configuration

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Errors that Adopt returns besides *policy.Errors; compare with errors.Is.
var (
	// ErrOlder means that a newer revision is in force.
	ErrOlder = eris.New("revision is older than the one in force")
	// ErrConflict means that the same revision is in force with different content.
	ErrConflict = eris.New("revision is already in force with different content")
)

// Refusal describes the document that was refused last. It is cleared once a newer
// revision is in force.
type Refusal struct {
	Version snapshot.Version `json:"version"`
	Reason  string           `json:"reason"`
	At      time.Time        `json:"at"`
}

// Options configure an Applier.
type Options struct {
	// Store receives the snapshots. The Applier must be its only writer.
	Store *snapshot.Store
	// Logger is required.
	Logger logrus.FieldLogger
	// Registerer registers the metrics; if nil, they are not exported.
	Registerer prometheus.Registerer
	// HoldTime is how long a condition must have a new result before it takes effect; zero
	// means DefaultHoldTime.
	HoldTime time.Duration
	// HeartbeatInterval is how often an instance renews its entry in the source; zero means
	// DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
}

// DefaultHeartbeatInterval is the default of Options.HeartbeatInterval.
const DefaultHeartbeatInterval = 1500 * time.Millisecond

// Applier compiles documents and puts them in force. It implements
// distribution.Adopter and is safe for concurrent use.
type Applier struct {
	store    *snapshot.Store
	logger   logrus.FieldLogger
	metrics  *metrics
	watchers watchers

	// newPlan compiles a document; tests replace it to block a compilation.
	newPlan func(document *snapshot.Document) (*policy.Plan, error)

	fleet               atomic.Pointer[membership.View]
	evaluationRequested chan struct{}

	// adoptMutex serializes Adopt. It is separate from mutex because compiling a document takes
	// long on a small machine, and changes to instances must not wait for that.
	adoptMutex sync.Mutex

	mutex sync.Mutex // guards the rest
	// changes holds the changes to instances and evacuations that are newer than the document in
	// force.
	changes snapshot.Changes
	// restore holds what the node retains after the source was restored from a backup.
	restore restoreState

	plan         *policy.Plan
	conditions   Hysteresis
	faults       []snapshot.Fault // of the configuration in force
	refusal      *Refusal
	refusalError error
}

// NewApplier returns an Applier without a document.
func NewApplier(options Options) (*Applier, error) {
	if options.HoldTime == 0 {
		options.HoldTime = DefaultHoldTime
	}
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = DefaultHeartbeatInterval
	}
	metrics, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, eris.Wrap(err, "register configuration metrics")
	}
	applier := &Applier{
		store:               options.Store,
		logger:              logging.Part(options.Logger, "configuration"),
		metrics:             metrics,
		evaluationRequested: make(chan struct{}, 1),
		conditions:          NewHysteresis(options.HoldTime),
		newPlan:             policy.NewPlan,
		restore:             restoreState{retention: retentionHeartbeats * options.HeartbeatInterval},
	}
	applier.fleet.Store(&membership.View{})
	return applier, nil
}

// Current returns the snapshot in force, or nil before the first.
func (a *Applier) Current() *snapshot.Snapshot { return a.store.Current() }

// Document returns the document in force, or nil before the first.
func (a *Applier) Document() *snapshot.Document {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.plan == nil {
		return nil
	}
	return a.plan.Document()
}

// Listed returns the content in force as the source listed it: the document with the later changes
// applied to it, and without states that are only retained. It returns false before the first document.
func (a *Applier) Listed() (snapshot.Content, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.plan == nil {
		return snapshot.Content{}, false
	}
	return a.changes.Apply(a.plan.Document().Content()), true
}

// Refusal returns the last refusal, unless a newer revision than the refused one
// is in force.
func (a *Applier) Refusal() (Refusal, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.refusal == nil {
		return Refusal{}, false
	}
	return *a.refusal, true
}

// Adopt compiles the document and puts all of it in force, or refuses all of it
// with ErrOlder, ErrConflict or *policy.Errors. The last refusal is remembered, so
// that the same document is not compiled again when it is offered again.
func (a *Applier) Adopt(document *snapshot.Document) error {
	a.adoptMutex.Lock()
	defer a.adoptMutex.Unlock()
	if decided, err := a.adoptWithoutCompiling(document); decided {
		return err
	}
	plan, err := a.compile(document)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	version := document.Version()
	if err != nil {
		return a.refuse(version, err)
	}
	conditions := a.conditions.Tracking(plan.Conditions(), a.fleet.Load())
	if err := a.putInForce(plan, conditions); err != nil {
		return a.refuse(version, err)
	}
	return nil
}

// adoptWithoutCompiling handles documents that need no compilation: those that are refused or
// in force already, and those whose routes equal the ones in force.
func (a *Applier) adoptWithoutCompiling(document *snapshot.Document) (decided bool, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	version := document.Version()
	highWater := a.store.HighWater()
	switch {
	case version == highWater:
		return true, nil
	case version.Conflicts(highWater):
		return true, a.refuse(version, eris.Wrapf(ErrConflict, "offered version %s, version in force %s", version, highWater))
	case highWater.Newer(version):
		return true, eris.Wrapf(ErrOlder, "offered version %s, version in force %s", version, highWater)
	case a.refusal != nil && a.refusal.Version == version:
		return true, a.refusalError
	case a.plan != nil && snapshot.SameRouting(a.plan.Document(), document):
		return true, a.adoptWithCurrentRoutes(document)
	default:
		return false, nil
	}
}

// adoptWithCurrentRoutes puts a document in force whose routes equal the ones in force.
// The caller must hold the mutex.
func (a *Applier) adoptWithCurrentRoutes(document *snapshot.Document) error {
	previous := a.store.Current()
	a.enterDocumentEpoch(document)
	next := previous.WithChanges(document, &a.changes, &a.restore.retained).WithPrevious(previous)
	adoption, err := a.store.Adopt(next)
	switch {
	case err != nil:
		return a.refuse(document.Version(), err)
	case adoption == snapshot.RefusedOlder:
		return a.refuse(document.Version(), ErrOlder)
	case adoption == snapshot.RefusedConflict:
		return a.refuse(document.Version(), ErrConflict)
	}
	a.plan = a.plan.WithDocument(document)
	a.changes.DropThrough(document.Version().Revision)
	a.reportSnapshot(previous)
	return nil
}

// FleetChanged sets the view of the fleet that conditions are evaluated with. It
// does not block.
func (a *Applier) FleetChanged(view *membership.View) {
	a.fleet.Store(view)
	a.requestEvaluation()
}

// requestEvaluation makes Run evaluate again. It does not block.
func (a *Applier) requestEvaluation() {
	select {
	case a.evaluationRequested <- struct{}{}:
	default: // an evaluation is already requested
	}
}

// Run evaluates the conditions whenever the fleet changes and whenever a new result
// has lasted for the hold time. It returns nil once the context is done.
func (a *Applier) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.evaluationRequested:
		case <-timer.C:
		}
		if deadline, pending := a.evaluate(time.Now()); pending {
			timer.Reset(time.Until(deadline))
		} else {
			timer.Stop()
		}
	}
}

// evaluate drops retained states that have expired, applies changed results of conditions,
// and returns when to evaluate next if the fleet does not change.
func (a *Applier) evaluate(now time.Time) (deadline time.Time, pending bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	left, retains := a.expireRetained()
	deadline, pending = a.evaluateConditions(now)
	if expiry := now.Add(left); retains && (!pending || expiry.Before(deadline)) {
		return expiry, true
	}
	return deadline, pending
}

// evaluateConditions puts in force the routes for the present results of the conditions, and
// returns when the next result takes effect. The caller must hold the mutex.
func (a *Applier) evaluateConditions(now time.Time) (deadline time.Time, pending bool) {
	next, changed := a.conditions.Observe(a.fleet.Load(), now)
	if !changed {
		a.conditions = next
		return next.Deadline()
	}
	if err := a.putInForce(a.plan, next); err != nil {
		// Should not happen: the routes of all variants were checked before the plan was adopted.
		a.logger.WithError(err).Error("cannot build the routes for the changed fleet")
	}
	a.conditions = next
	return next.Deadline()
}

func (a *Applier) compile(document *snapshot.Document) (*policy.Plan, error) {
	start := time.Now()
	plan, err := a.newPlan(document)
	a.metrics.compilation.Observe(time.Since(start).Seconds())
	return plan, err
}

// putInForce builds the snapshot of a plan and swaps it in. The caller must hold the
// mutex.
func (a *Applier) putInForce(plan *policy.Plan, conditions Hysteresis) error {
	built, err := plan.Snapshot(conditions)
	if err != nil {
		return err
	}
	previous := a.store.Current()
	a.enterDocumentEpoch(plan.Document())
	if a.changes.Len() > 0 || a.restore.retained.Len() > 0 {
		built = built.WithChanges(plan.Document(), &a.changes, &a.restore.retained)
	}
	adoption, err := a.store.Adopt(built.WithPrevious(previous))
	if err != nil {
		return err
	}
	switch adoption {
	case snapshot.RefusedOlder:
		return ErrOlder
	case snapshot.RefusedConflict:
		return ErrConflict
	}
	a.plan, a.conditions = plan, conditions
	a.changes.DropThrough(built.Version().Revision)
	if adoption == snapshot.Adopted {
		a.reportSnapshot(previous)
	}
	return nil
}

// reportSnapshot logs the snapshot in force, updates the metrics and notifies the watchers. The
// previous snapshot is nil for the first one.
func (a *Applier) reportSnapshot(previous *snapshot.Snapshot) {
	current := a.store.Current()
	a.reportFleet(previous, current, learnedByDocument)
	if a.refusal != nil && current.Version().Newer(a.refusal.Version) {
		a.refusal, a.refusalError = nil, nil
	}
	a.metrics.epoch.Set(float64(current.Version().Revision.Epoch()))
	a.metrics.revision.Set(float64(current.Version().Revision.Number()))
	a.logger.WithFields(logrus.Fields{
		"version":    current.Version().String(),
		"generation": current.Generation(),
		"routes":     len(current.Routes()),
		"instances":  current.InstanceCount(),
	}).Info("configuration in force")
	a.reportFaults(current.Faults())
	a.watchers.notify(Update{InForce: current.Version(), Generation: current.Generation(), Refusal: a.refusal})
}

// maxFaultLines bounds the lines that are logged for the faults of one configuration.
const maxFaultLines = 20

// reportFaults logs what was not used of a configuration, and sets the metric.
func (a *Applier) reportFaults(faults []snapshot.Fault) {
	if slices.Equal(faults, a.faults) {
		return
	}
	a.faults = faults
	a.metrics.faults.Reset()
	for i, fault := range faults {
		a.metrics.faults.WithLabelValues(fault.Kind.String()).Inc()
		if i < maxFaultLines {
			a.logger.WithFields(logrus.Fields{
				"kind": fault.Kind.String(), "name": fault.Name, "unusable": fault.Unusable, "problem": fault.Problem,
			}).Warn("the configuration in force has a resource of whose entry not all was used")
		}
	}
	if left := len(faults) - maxFaultLines; left > 0 {
		a.logger.WithField("left", left).Warn("further resources have faults: winchhead faults lists them")
	}
}

// reportFleet logs the changes to instances and evacuations between two snapshots, sets the
// metrics, and remembers what was removed.
func (a *Applier) reportFleet(previous, current *snapshot.Snapshot, learnedBy string) {
	a.metrics.generation.Set(float64(current.Generation()))
	a.reportEvacuations(previous, current)
	a.reportUnavailable(previous, current, learnedBy)
	a.restore.removals.record(previous, current)
}

// reportEvacuations logs the zones whose evacuation began or ended, and sets the
// metric of evacuated zones.
func (a *Applier) reportEvacuations(previous, current *snapshot.Snapshot) {
	evacuated := current.EvacuatedZones()
	a.metrics.evacuatedZones.Set(float64(len(evacuated)))
	for _, zone := range evacuated {
		if previous == nil || !previous.IsEvacuated(zone) {
			a.logger.WithField("zone", zone).WithField("version", current.Version().String()).Warn("zone evacuated: no requests are sent to its instances")
		}
	}
	if previous == nil {
		return
	}
	for _, zone := range previous.EvacuatedZones() {
		if !current.IsEvacuated(zone) {
			a.logger.WithField("zone", zone).WithField("version", current.Version().String()).Warn("zone evacuation ended: requests are sent to its instances again")
		}
	}
}

// refuse records why a document is refused and returns the reason. The caller must
// hold the mutex.
func (a *Applier) refuse(version snapshot.Version, reason error) error {
	if a.refusal != nil && a.refusal.Version == version {
		return reason
	}
	a.metrics.refusals.Inc()
	a.logger.WithField("version", version.String()).WithField("reason", reason.Error()).Warn("configuration refused")
	if a.refusal != nil && a.refusal.Version.Newer(version) {
		return reason
	}
	a.refusal = &Refusal{Version: version, Reason: reason.Error(), At: time.Now()}
	a.refusalError = reason
	update := Update{Refusal: a.refusal}
	if current := a.store.Current(); current != nil {
		update.InForce, update.Generation = current.Version(), current.Generation()
	}
	a.watchers.notify(update)
	return reason
}

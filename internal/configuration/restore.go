package configuration

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// retentionHeartbeats is how many heartbeat intervals the state known before a restore is
	// retained. The source drops the entry of an instance that left after three; the fourth allows
	// for reading that change.
	retentionHeartbeats = 4
	// missingRetention is how long instances are retained that the restored source does not list.
	// One that left without notice just after the restore is not listed either, and must get no
	// requests for longer than two seconds.
	missingRetention = 1750 * time.Millisecond
	// removalMemory is how long removed instances and ended evacuations are remembered: a backup
	// made shortly before still lists them.
	removalMemory = 30 * time.Second
	// maxRecentRemovals bounds the remembered removals of instances, and likewise of evacuations.
	maxRecentRemovals = snapshot.MaxTypedResources
)

// restoreState is what a node retains after the source was restored from a backup, until the source
// is up to date again.
type restoreState struct {
	// retention is how long the state known before the restore is retained.
	retention time.Duration
	// epoch is the latest epoch of the source that the node knows.
	epoch    uint64
	retained snapshot.Retained
	// retainedSince is when the retention began; zero if nothing is retained.
	retainedSince time.Time
	removals      recentRemovals
	// lastRestore is the last restore that the node saw, at lastRestoreAt; nil if there was none.
	lastRestore   *Restore
	lastRestoreAt time.Time
}

// Restore describes a restore of the source from a backup, as seen by a node.
type Restore struct {
	// From is the version that was in force before the restore, To the first revision read after it.
	From snapshot.Version
	To   snapshot.Revision
	// Age is the time since then.
	Age time.Duration
	// Retained is how many instance and evacuation states the node retains in place of the source's,
	// and RetainedFor for how much longer at most.
	Retained    int
	RetainedFor time.Duration
}

// LastRestore returns the last restore of the source that this process saw, if any.
func (a *Applier) LastRestore() (restore Restore, seen bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := &a.restore
	if r.lastRestore == nil {
		return Restore{}, false
	}
	restore = *r.lastRestore
	restore.Age = clock.Since(r.lastRestoreAt)
	if restore.Retained = r.retained.Len(); restore.Retained > 0 {
		restore.RetainedFor = max(r.retention-clock.Since(r.retainedSince), 0)
	}
	return restore, true
}

// enterEpoch starts the retention if a revision belongs to a new epoch. The caller must hold the
// mutex.
func (a *Applier) enterEpoch(revision snapshot.Revision) {
	r := &a.restore
	if revision.Epoch() > r.epoch {
		r.epoch = revision.Epoch()
		if a.plan != nil {
			r.lastRestore, r.lastRestoreAt = &Restore{From: a.store.HighWater(), To: revision}, clock.Now()
		}
		a.startRetention()
	}
}

// enterDocumentEpoch restarts the retention if a document that is about to be put in force is the
// first one of its epoch: changes of that epoch may have arrived long before it. The caller must
// hold the mutex.
func (a *Applier) enterDocumentEpoch(document *snapshot.Document) {
	epoch := document.Version().Revision.Epoch()
	if a.plan != nil && epoch == a.restore.epoch && epoch > a.plan.Document().Version().Revision.Epoch() {
		a.startRetention()
	}
	a.enterEpoch(document.Version().Revision)
	a.restore.retained.DropConfirmed(document.Content(), &a.changes)
}

// startRetention starts or restarts the retention of the state known now. The caller must hold the
// mutex.
func (a *Applier) startRetention() {
	r := &a.restore
	r.retainedSince = clock.Now()
	a.requestEvaluation()
	if a.plan == nil {
		r.retained = snapshot.Retain(r.epoch, snapshot.Content{}, snapshot.Removed{})
		a.retainEarlierEpochs(a.changes.BeforeEpoch(r.epoch))
		return
	}
	r.removals.expire(clock.Now())
	known := r.retained.Apply(a.changes.Apply(a.plan.Document().Content()))
	r.retained = snapshot.Retain(r.epoch, known, r.removals.list())
	a.logger.WithFields(logrus.Fields{
		"epoch": r.epoch, "version": a.store.HighWater().String(), "statements": r.retained.Len(), "for_ms": r.retention.Milliseconds(),
	}).Warn("the source was restored from a backup: retaining the known instances and evacuations")
}

// retainEarlierEpochs retains those of the changes that belong to earlier epochs, which a peer
// learned before the source was restored, and reports whether there were any. The caller must hold
// the mutex.
func (a *Applier) retainEarlierEpochs(changes []snapshot.Change) (retained bool) {
	r := &a.restore
	if r.retainedSince.IsZero() {
		return false
	}
	for _, change := range changes {
		if change.Revision.Epoch() < r.epoch {
			r.retained.Add(change)
			retained = true
		}
	}
	return retained
}

// expireRetained drops retained instance and evacuation states that have expired, and returns the
// time until the next ones expire, if any are left. The caller must hold the mutex.
func (a *Applier) expireRetained() (left time.Duration, pending bool) {
	r := &a.restore
	if r.retainedSince.IsZero() {
		return 0, false
	}
	switch age := clock.Since(r.retainedSince); {
	case age < missingRetention:
		return missingRetention - age, true
	case age < r.retention:
		a.dropRetained(r.retained.DropUnlisted)
		return r.retention - age, true
	default:
		a.dropRetained(r.retained.Drop)
		r.retainedSince, r.retained = time.Time{}, snapshot.Retained{}
		return 0, false
	}
}

// dropRetained drops retained states and puts the content of the source in force in their place.
// drop gets that content and returns how many states differed from it. The caller must hold the
// mutex.
func (a *Applier) dropRetained(drop func(content snapshot.Content) int) {
	if a.plan == nil {
		return // nothing is in force
	}
	dropped := drop(a.changes.Apply(a.plan.Document().Content()))
	if dropped == 0 {
		return
	}
	a.logger.WithFields(logrus.Fields{"epoch": a.restore.epoch, "statements": dropped}).
		Warn("retained instances and evacuations expired: applying the content of the restored source")
	a.applyFleet()
}

// recentRemovals remembers instances and evacuations that were removed recently, by name.
type recentRemovals struct {
	instances map[string]removedInstance
	zones     map[string]time.Time
}

type removedInstance struct {
	instance  snapshot.Instance
	removedAt time.Time
}

// record updates the removals with the differences between two snapshots; previous may be nil.
func (b *recentRemovals) record(previous, current *snapshot.Snapshot) {
	if previous == nil {
		return
	}
	if b.instances == nil {
		b.instances, b.zones = make(map[string]removedInstance), make(map[string]time.Time)
	}
	now := clock.Now()
	b.expire(now)
	for instance := range previous.AllInstances() {
		if _, listed := current.Instance(instance.Name); !listed && len(b.instances) < maxRecentRemovals {
			b.instances[instance.Name] = removedInstance{instance: instance, removedAt: now}
		}
	}
	for _, zone := range previous.EvacuatedZones() {
		if !current.IsEvacuated(zone) && len(b.zones) < maxRecentRemovals {
			b.zones[zone] = now
		}
	}
	for name := range b.instances {
		if _, listed := current.Instance(name); listed {
			delete(b.instances, name)
		}
	}
	for zone := range b.zones {
		if current.IsEvacuated(zone) {
			delete(b.zones, zone)
		}
	}
}

func (b *recentRemovals) expire(now time.Time) {
	for name, removed := range b.instances {
		if now.Sub(removed.removedAt) >= removalMemory {
			delete(b.instances, name)
		}
	}
	for zone, endedAt := range b.zones {
		if now.Sub(endedAt) >= removalMemory {
			delete(b.zones, zone)
		}
	}
}

func (b *recentRemovals) list() (removed snapshot.Removed) {
	for _, remembered := range b.instances {
		removed.Instances = append(removed.Instances, remembered.instance)
	}
	for zone := range b.zones {
		removed.Zones = append(removed.Zones, zone)
	}
	return removed
}

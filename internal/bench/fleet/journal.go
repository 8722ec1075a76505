package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Journal records what each node puts in force and watches the promises about
// it. It is safe for concurrent use.
type Journal struct {
	mutex     sync.Mutex
	published map[snapshot.Revision]publication
	compiled  map[snapshot.Version]*compilation
	held      map[int]snapshot.Version // by node, over all its processes
	current   map[int]snapshot.Version // by node, of the process that runs
	changed   chan struct{}
	breaches  []string
	adoptions []adoption
}

// publication is what the platform published as one revision.
type publication struct {
	version snapshot.Version
	at      time.Time
}

// adoption is one version put in force by one node.
type adoption struct {
	node     int
	revision snapshot.Revision
	at       time.Time
}

// compilation is shared by all nodes of the process, as one machine cannot
// compile for all of them as fast as they could each on their own.
type compilation struct {
	once   sync.Once
	result *snapshot.Snapshot
	err    error
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		published: make(map[snapshot.Revision]publication),
		compiled:  make(map[snapshot.Version]*compilation),
		held:      make(map[int]snapshot.Version),
		current:   make(map[int]snapshot.Version),
		changed:   make(chan struct{}),
	}
}

// publish runs change, which makes the platform accept a new version, and notes
// the version with the time just before. No adoption is noted in between.
func (j *Journal) publish(change func() (snapshot.Version, error)) (snapshot.Version, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	at := time.Now()
	version, err := change()
	if err != nil {
		return snapshot.Version{}, err
	}
	j.published[version.Revision] = publication{version: version, at: at}
	return version, nil
}

// breach notes a broken promise.
func (j *Journal) breach(reason string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.breaches = append(j.breaches, reason)
}

// Breaches returns the broken promises so far.
func (j *Journal) Breaches() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]string(nil), j.breaches...)
}

// compile returns the snapshot of a document, compiled once for all nodes.
func (j *Journal) compile(document *snapshot.Document) (*snapshot.Snapshot, error) {
	j.mutex.Lock()
	shared := j.compiled[document.Version()]
	if shared == nil {
		shared = &compilation{}
		j.compiled[document.Version()] = shared
	}
	j.mutex.Unlock()
	shared.once.Do(func() {
		shared.result, shared.err = policy.Compile(document, &membership.View{})
	})
	return shared.result, shared.err
}

// started notes a new process of a node, which holds nothing. The watch for going
// back goes on with what the former process held.
func (j *Journal) started(node int) { j.ended(node) }

// ended notes that the process of a node holds nothing any more.
func (j *Journal) ended(node int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	delete(j.current, node)
}

// adopted notes that a node put a version in force, and whether a promise broke.
func (j *Journal) adopted(node int, version snapshot.Version, at time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if before := j.held[node]; before.Newer(version) {
		j.breaches = append(j.breaches, eris.Errorf("%s went back from %s to %s", nodeName(node), before, version).Error())
	}
	if j.published[version.Revision].version != version {
		j.breaches = append(j.breaches, eris.Errorf("%s holds %s, which was never published", nodeName(node), version).Error())
	}
	j.held[node] = version
	j.current[node] = version
	j.adoptions = append(j.adoptions, adoption{node: node, revision: version.Revision, at: at})
	close(j.changed)
	j.changed = make(chan struct{})
}

// await waits until every given node holds the version, or the context ends.
func (j *Journal) await(ctx context.Context, nodes []int, version snapshot.Version) error {
	for {
		j.mutex.Lock()
		missing := j.missing(nodes, version)
		changed := j.changed
		j.mutex.Unlock()
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Errorf("%d of %d nodes do not hold %s, the first is %s",
				len(missing), len(nodes), version, nodeName(missing[0]))
		}
	}
}

// missing returns the nodes that do not hold the version; the mutex is held.
func (j *Journal) missing(nodes []int, version snapshot.Version) []int {
	var missing []int
	for _, node := range nodes {
		if j.current[node] != version {
			missing = append(missing, node)
		}
	}
	return missing
}

// delays returns, for each adoption of the given range of revisions, the time
// since the platform accepted it.
func (j *Journal) delays(from, to snapshot.Revision) []time.Duration {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var delays []time.Duration
	for _, adopted := range j.adoptions {
		if adopted.revision >= from && adopted.revision <= to {
			delays = append(delays, adopted.at.Sub(j.published[adopted.revision].at))
		}
	}
	return delays
}

package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// Platform simulates the configuration source and the membership list.
type Platform struct {
	fleet      *Fleet
	published  map[snapshot.Version]*snapshot.Document
	current    *snapshot.Document
	refused    map[snapshot.Version]error
	down       bool
	behavior   func(*Machine) Behavior
	stale      *snapshot.Document
	waiting    []pendingPoll
	lists      []listSnapshot
	listReads  []pendingListRead
	maxReaders int
	lastPollAt map[membership.NodeID]time.Time
	polls      int
	pollsOf    map[membership.NodeID]int
	fetches    int
	changes    []snapshot.Change
	link       sourceLink
}

type pendingPoll struct {
	process *process
	action  distribution.AwaitSource
}

type pendingListRead struct {
	process *process
	action  distribution.FetchMembers
}

// listSnapshot is the list as of a time.
type listSnapshot struct {
	from    time.Time
	members []membership.ListedMember
}

func newPlatform(f *Fleet) *Platform {
	return &Platform{
		fleet:      f,
		published:  make(map[snapshot.Version]*snapshot.Document),
		refused:    make(map[snapshot.Version]error),
		lastPollAt: make(map[membership.NodeID]time.Time),
		pollsOf:    make(map[membership.NodeID]int),
		behavior:   func(*Machine) Behavior { return Behavior{} },
	}
}

// Publish makes a document the current one. If reason is not empty, every node refuses the
// document for that reason.
func (p *Platform) Publish(document *snapshot.Document, reason string) {
	p.published[document.Version()] = document
	if reason != "" {
		p.refused[document.Version()] = eris.New(reason)
	}
	p.current = document
	p.wakeReaders()
}

// AddPublished records a document as published without making it the current one.
func (p *Platform) AddPublished(document *snapshot.Document) {
	p.published[document.Version()] = document
}

// Restore makes a document current as that of a source restored from a backup. It returns the
// document expected at nodes that keep their newer configuration.
func (p *Platform) Restore(document *snapshot.Document) (*snapshot.Document, error) {
	kept, err := document.WithNewerConfiguration(p.current)
	if err != nil {
		return nil, err
	}
	p.published[kept.Version()] = kept
	p.Publish(document, "")
	return kept, nil
}

// PublishChanges makes a document with changes of instances the current one. A node that polls
// the source learns of the changes ahead of the document.
func (p *Platform) PublishChanges(document *snapshot.Document, changes ...snapshot.Change) {
	p.changes = append(p.changes, changes...)
	p.Publish(document, "")
}

// changesBetween returns the changes after one revision, up to another.
func (p *Platform) changesBetween(known, read snapshot.Revision) (found []snapshot.Change) {
	for _, change := range p.changes {
		if change.Revision > known && change.Revision <= read {
			found = append(found, change)
		}
	}
	return found
}

// Current returns the version published last.
func (p *Platform) Current() snapshot.Version { return p.current.Version() }

// SetDown makes all reads of the source and the list fail immediately, or work again.
func (p *Platform) SetDown(down bool) { p.down = down }

// SetStale makes the source serve an old document; nil makes it serve the current one.
func (p *Platform) SetStale(document *snapshot.Document) {
	p.stale = document
	p.wakeReaders()
}

// Behavior is how the platform responds to the reads of one machine. The zero value answers
// them normally.
type Behavior struct {
	// Silent leaves all reads unanswered, including those already waiting.
	Silent bool
	// Busy rejects reads immediately and asks to retry after RetryAfter.
	Busy       bool
	RetryAfter time.Duration
	// Reset ends reads immediately without an answer.
	Reset bool
	// Delay is added to the time of each answer.
	Delay time.Duration
	// Stale, if set, is the old document that is served in place of the current one.
	Stale *snapshot.Document
}

// fails returns the outcome of a read that is made to fail, or false if it succeeds.
func (t Behavior) fails() (source.Outcome, bool) {
	switch {
	case t.Busy:
		return source.Outcome{Status: source.StatusBusy, RetryAfter: t.RetryAfter, Err: eris.New("the platform is busy")}, true
	case t.Reset:
		return errUnreachable, true
	default:
		return source.Outcome{}, false
	}
}

// SetBehavior sets how the platform responds to the reads of each machine; nil answers all
// normally. It applies to reads that are already waiting as well.
func (p *Platform) SetBehavior(behavior func(*Machine) Behavior) {
	if behavior == nil {
		behavior = func(*Machine) Behavior { return Behavior{} }
	}
	p.behavior = behavior
	p.wakeReaders()
}

// SetUnanswered leaves the reads of the selected machines unanswered; nil selects none.
func (p *Platform) SetUnanswered(unheard func(*Machine) bool) {
	if unheard == nil {
		p.SetBehavior(nil)
		return
	}
	p.SetBehavior(func(m *Machine) Behavior { return Behavior{Silent: unheard(m)} })
}

func (p *Platform) isSilentTo(m *Machine) bool { return p.behavior(m).Silent }

// Readers returns how many processes have a waiting poll of the source.
func (p *Platform) Readers() int {
	readers := make(map[*process]bool)
	for _, read := range p.waiting {
		if read.process.requests[read.action.Request] {
			readers[read.process] = true
		}
	}
	return len(readers)
}

// MaxReaders returns the highest number of concurrent readers so far.
func (p *Platform) MaxReaders() int { return p.maxReaders }

// RecentPollers returns how many machines polled the source within the last window.
func (p *Platform) RecentPollers(window time.Duration) int {
	count := 0
	for _, at := range p.lastPollAt {
		if p.fleet.now.Sub(at) <= window {
			count++
		}
	}
	return count
}

// Polls returns how often processes polled for a new revision.
func (p *Platform) Polls() int { return p.polls }

// PollsOf returns how often the processes of one machine polled.
func (p *Platform) PollsOf(name membership.NodeID) int { return p.pollsOf[name] }

// Fetches returns how many documents were fetched.
func (p *Platform) Fetches() int { return p.fetches }

func (p *Platform) refusal(version snapshot.Version) error { return p.refused[version] }

func (p *Platform) served(to *Machine) *snapshot.Document {
	if stale := p.behavior(to).Stale; stale != nil {
		return stale
	}
	if p.stale != nil {
		return p.stale
	}
	return p.current
}

func (p *Platform) servedVersion(to *Machine) snapshot.Version {
	if document := p.served(to); document != nil {
		return document.Version()
	}
	return snapshot.Version{}
}

// answer delivers the answer to a request unless it is cancelled.
func (p *Platform) answer(to *process, request distribution.RequestID, event distribution.Event) {
	p.fleet.forProcess(to, p.fleet.jitter(p.fleet.options.Latency)+p.behavior(to.machine).Delay, func() {
		if to.requests[request] {
			delete(to.requests, request)
			to.handle(event)
		}
	})
}

var errUnreachable = source.Outcome{Status: source.StatusUnreachable, Err: eris.New("no answer from the platform")}

func (p *Platform) await(from *process, action distribution.AwaitSource) {
	p.lastPollAt[from.machine.Name] = p.fleet.now
	p.polls++
	p.pollsOf[from.machine.Name]++
	from.requests[action.Request] = true
	if p.down {
		p.answer(from, action.Request, distribution.SourceRevision{Request: action.Request, Outcome: errUnreachable})
		return
	}
	if outcome, fails := p.behavior(from.machine).fails(); fails {
		p.answer(from, action.Request, distribution.SourceRevision{Request: action.Request, Outcome: outcome})
		return
	}
	if p.isSilentTo(from.machine) { // this read stays unanswered even if the behavior changes
		p.fleet.forProcess(from, action.Wait, func() { p.timeOutPoll(from, action) })
		return
	}
	if p.behavior(from.machine).Delay > 0 { // the reader gives up before a late answer
		p.fleet.forProcess(from, action.Wait, func() { p.timeOutPoll(from, action) })
	}
	p.waiting = append(p.waiting, pendingPoll{from, action})
	p.maxReaders = max(p.maxReaders, p.Readers())
	p.wakeReaders()
	p.fleet.forProcess(from, action.Wait, func() { p.finish(from, action) })
}

// timeOutPoll makes a poll fail once its wait and SourceGrace are over.
func (p *Platform) timeOutPoll(from *process, action distribution.AwaitSource) {
	p.fleet.forProcess(from, p.fleet.options.Timing.SourceGrace, func() {
		p.answer(from, action.Request, distribution.SourceRevision{Request: action.Request, Outcome: errUnreachable})
	})
}

// finish answers a poll that is still waiting.
func (p *Platform) finish(from *process, action distribution.AwaitSource) {
	index := slices.Index(p.waiting, pendingPoll{from, action})
	if index < 0 {
		return
	}
	p.waiting = slices.Delete(p.waiting, index, index+1)
	if p.isSilentTo(from.machine) {
		p.timeOutPoll(from, action)
		return
	}
	outcome := source.Outcome{Status: source.StatusFresh}
	if p.down {
		outcome = errUnreachable
	}
	if failed, fails := p.behavior(from.machine).fails(); fails {
		outcome = failed
	}
	version := p.servedVersion(from.machine)
	if changes := p.changesBetween(action.After, version.Revision); outcome.Status == source.StatusFresh && len(changes) > 0 {
		p.answerAhead(from, action.Request, distribution.FleetChangesRead{Changes: changes})
	}
	p.answer(from, action.Request, distribution.SourceRevision{Request: action.Request, Version: version, Outcome: outcome})
}

// answerAhead delivers an event that belongs to a request no later than its answer.
func (p *Platform) answerAhead(to *process, request distribution.RequestID, event distribution.Event) {
	p.fleet.forProcess(to, p.fleet.options.Latency/2+p.behavior(to.machine).Delay, func() {
		if to.requests[request] {
			to.handle(event)
		}
	})
}

// wakeReaders answers the waiting polls for which there is a newer version or a failure.
func (p *Platform) wakeReaders() {
	for _, read := range slices.Clone(p.waiting) {
		behavior := p.behavior(read.process.machine)
		_, fails := behavior.fails()
		isNewer := p.servedVersion(read.process.machine).Revision > read.action.After && !behavior.Silent
		if isNewer || fails || !read.process.requests[read.action.Request] {
			p.finish(read.process, read.action)
		}
	}
}

// forget drops the polls of a process that ended.
func (p *Platform) forget(ended *process) {
	p.waiting = slices.DeleteFunc(p.waiting, func(read pendingPoll) bool { return read.process == ended })
}

func (p *Platform) fetch(from *process, action distribution.FetchSource) {
	from.requests[action.Request] = true
	event := distribution.SourceDocument{Request: action.Request, Outcome: errUnreachable}
	outcome, fails := p.behavior(from.machine).fails()
	switch {
	case p.down || p.isSilentTo(from.machine):
	case fails:
		event.Outcome = outcome
	default:
		p.fetches++
		p.transfer(from, len(p.fleet.names), 0, func(arrived bool) {
			if arrived {
				event.Outcome = source.Outcome{Status: source.StatusFresh}
				event.Document = p.served(from.machine)
			}
			p.answer(from, action.Request, event)
		})
		return
	}
	p.answer(from, action.Request, event)
}

// listChanged records the list as it is now, and answers waiting reads once the platform
// shows it.
func (p *Platform) listChanged() {
	var members []membership.ListedMember
	for _, name := range p.fleet.names {
		if process := p.fleet.processes[name]; process.alive || p.fleet.options.ListsStoppedMachines {
			members = append(members, membership.ListedMember{
				Node: name, PeerAddress: string(name), Zone: process.machine.Zone,
				Region: process.machine.Region, State: membership.ListedLive,
			})
		}
	}
	p.lists = append(p.lists, listSnapshot{from: p.fleet.now, members: members})
	p.fleet.after(p.fleet.options.ListLag, func() {
		waiting := p.listReads
		p.listReads = nil
		for _, read := range waiting {
			p.list(read.process, read.action)
		}
	})
}

// visibleList returns the list as it was ListLag ago, its revision and its entity tag.
func (p *Platform) visibleList() (members []membership.ListedMember, revision uint64, etag string) {
	shown := 0
	for i, list := range p.lists {
		if !list.from.After(p.fleet.now.Add(-p.fleet.options.ListLag)) {
			shown = i
		}
	}
	return p.lists[shown].members, uint64(shown) + 1, fmt.Sprint(shown)
}

func (p *Platform) list(from *process, action distribution.FetchMembers) {
	if !from.alive {
		return
	}
	from.requests[action.Request] = true
	event := distribution.MembersListed{Request: action.Request, Outcome: errUnreachable}
	if outcome, fails := p.behavior(from.machine).fails(); fails {
		event.Outcome = outcome
	}
	if p.down || p.isSilentTo(from.machine) || event.Outcome.Status == source.StatusBusy || p.behavior(from.machine).Reset {
		p.answer(from, action.Request, event)
		return
	}
	members, revision, etag := p.visibleList()
	if etag == action.ETag {
		p.listReads = append(p.listReads, pendingListRead{from, action})
		p.fleet.forProcess(from, action.Wait, func() { p.listUnchanged(from, action) })
		return
	}
	event.Outcome.Status = source.StatusFresh
	event.Members, event.Revision, event.ETag = members, revision, etag
	if action.Sample && p.fleet.options.ListPage > 0 {
		event.Sample, event.ETag = true, ""
		event.Members = from.nextSample(members, p.fleet.options.ListPage)
	}
	respond := func(arrived bool) {
		if !arrived {
			event = distribution.MembersListed{Request: action.Request, Outcome: errUnreachable}
		}
		p.fleet.forProcess(from, p.fleet.options.ListDelay, func() { p.answer(from, action.Request, event) })
	}
	if !event.Sample {
		respond(true) // a reader gets the whole list with the document
		return
	}
	p.transfer(from, len(event.Members), action.Wait, respond)
}

func (p *Platform) listUnchanged(from *process, action distribution.FetchMembers) {
	index := slices.Index(p.listReads, pendingListRead{from, action})
	if index < 0 {
		return
	}
	p.listReads = slices.Delete(p.listReads, index, index+1)
	p.answer(from, action.Request, distribution.MembersListed{
		Request: action.Request, ETag: action.ETag, Outcome: source.Outcome{Status: source.StatusNotModified},
	})
}

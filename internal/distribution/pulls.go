package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

// sortedPulls returns the unanswered pulls, newest version first.
func (p *pushState) sortedPulls() []pull {
	if len(p.pulls) == 0 {
		return nil
	}
	pulls := make([]pull, 0, len(p.pulls))
	for _, pull := range p.pulls {
		pulls = append(pulls, pull)
	}
	slices.SortFunc(pulls, func(a, b pull) int {
		return cmp.Or(-cmp.Compare(a.version.Revision, b.version.Revision), cmp.Compare(a.link, b.link))
	})
	return pulls
}

// pullTimedOut abandons a pull, so that another peer is asked.
func (e *Engine) pullTimedOut(pull pull) {
	delete(e.push.pulls, pull.version)
	e.push.attempts[pull.version]++
	l := e.overlay.links[pull.link]
	if l == nil {
		return
	}
	l.held = wire.ShortVersion{}
	l.failedPulls++
	if l.failedPulls >= maxFailedPulls {
		e.closeFaultyLink(l, "it does not deliver the versions it announces")
	}
	e.startPulls()
}

// cancelPullsOn abandons the pulls on a link that is being closed.
func (e *Engine) cancelPullsOn(l *link) {
	cancelled := false
	for version, pull := range e.push.pulls {
		if pull.link == l.id {
			delete(e.push.pulls, version)
			cancelled = true
		}
	}
	if cancelled {
		e.startPulls()
	}
}

// startPulls asks peers for versions newer than every verified one: the newest first, each
// from the first peer that offers it.
func (e *Engine) startPulls() {
	for _, l := range e.linksWithNewerVersion() {
		if _, running := e.push.pulls[l.held]; running {
			continue
		}
		if e.blockedByNewerPull(l.held) || e.hasPull(l) {
			continue
		}
		e.push.pulls[l.held] = pull{
			version: l.held,
			timeout: e.pullTimeout(l.held),
			base:    e.push.newest(),
			link:    l.id,
			sentAt:  e.now,
		}
		e.send(&wire.Pull{Want: l.held.Revision, Held: wire.Short(e.push.newestVersion())}, l.id)
	}
}

// pullTimeout doubles with each pull of a version that was not answered in time, because
// the document may be large and slow to transfer.
func (e *Engine) pullTimeout(version wire.ShortVersion) time.Duration {
	return e.timing.PullTimeout << min(e.push.attempts[version], maxPullDoublings)
}

// linksWithNewerVersion returns the links whose peers hold a newer version than this node, newest first.
func (e *Engine) linksWithNewerVersion() []*link {
	newest := e.push.newestVersion()
	var offers []*link
	for _, l := range e.overlay.order {
		if l.phase == phaseUp && l.held.Newer(newest) && !e.push.refusals.has(l.held) {
			offers = append(offers, l)
		}
	}
	slices.SortStableFunc(offers, func(a, b *link) int {
		return -cmp.Compare(a.held.Revision, b.held.Revision)
	})
	return offers
}

// blockedByNewerPull reports whether a newer version was requested so recently that
// pulling this one would most likely be wasted.
func (e *Engine) blockedByNewerPull(version wire.ShortVersion) bool {
	for _, pull := range e.push.pulls {
		if pull.version.Revision > version.Revision && e.push.blocksOlderPulls(e, pull) {
			return true
		}
	}
	return false
}

// hasPull reports whether the link has an unanswered pull.
func (e *Engine) hasPull(l *link) bool {
	for _, pull := range e.push.pulls {
		if pull.link == l.id {
			return true
		}
	}
	return false
}

package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

// sortedPulls returns the pulls, the newest version first.
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

// pullTimedOut gives up a pull, so that another peer is asked.
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
		e.faulty(l, "it does not deliver the versions that it announces")
	}
	e.startPulls()
}

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

// startPulls asks peers for versions that are newer than all that is verified:
// the newest first, each from the first peer that offers it.
func (e *Engine) startPulls() {
	for _, l := range e.offers() {
		if _, running := e.push.pulls[l.held]; running {
			continue
		}
		if e.heldBack(l.held) || e.pulling(l) {
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

// pullTimeout is longer after each pull of a version that was not answered, as the
// cause may be a document that takes its time.
func (e *Engine) pullTimeout(version wire.ShortVersion) time.Duration {
	return e.timing.PullTimeout << min(e.push.attempts[version], maxPullDoublings)
}

// offers returns the links whose peers hold something newer, the newest first.
func (e *Engine) offers() []*link {
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

// heldBack reports whether a pull of a newer version is so young that one of
// this version would most likely be wasted.
func (e *Engine) heldBack(version wire.ShortVersion) bool {
	for _, pull := range e.push.pulls {
		if pull.version.Revision > version.Revision && e.push.lowerWaits(e, pull) {
			return true
		}
	}
	return false
}

// pulling reports whether a pull on the link is unanswered.
func (e *Engine) pulling(l *link) bool {
	for _, pull := range e.push.pulls {
		if pull.link == l.id {
			return true
		}
	}
	return false
}

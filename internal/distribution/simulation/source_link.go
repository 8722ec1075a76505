package simulation

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

// sourceLink is the link of the platform, which sends the pages of all readers one after the other.
type sourceLink struct {
	freeAt time.Time
	pages  int
}

// Pages returns how many pages the platform has sent, those included for which no reader waited any
// more.
func (p *Platform) Pages() int { return p.link.pages }

// transfer sends a number of entries to a process, page by page, and calls done. A reader asks for a
// page once it has the one before, and gives up when a page does not come in time: the first within
// FetchTimeout, the others within SourceGrace.
func (p *Platform) transfer(to *process, entries int, wait time.Duration, done func(arrived bool)) {
	options := p.fleet.options
	if options.SourceLinkRate == 0 {
		done(true)
		return
	}
	p.sendPage(to, entries, wait+options.Timing.FetchTimeout+options.Timing.SourceGrace, done)
}

func (p *Platform) sendPage(to *process, entries int, patience time.Duration, done func(arrived bool)) {
	options := p.fleet.options
	count := min(entries, options.ListPage)
	if p.link.freeAt.Before(p.fleet.now) {
		p.link.freeAt = p.fleet.now
	}
	bytes := int64(count) * int64(options.ListEntryBytes)
	p.link.freeAt = p.link.freeAt.Add(time.Duration(bytes * int64(time.Second) / options.SourceLinkRate))
	p.link.pages++
	takes := p.link.freeAt.Sub(p.fleet.now)
	if takes > patience {
		p.fleet.forProcess(to, patience, func() { done(false) })
		return
	}
	p.fleet.forProcess(to, takes, func() {
		if entries > count {
			p.sendPage(to, entries-count, options.Timing.SourceGrace, done)
			return
		}
		done(true)
	})
}

// nextSample returns the next page of the list, and the first one after the last.
func (p *process) nextSample(members []membership.ListedMember, page int) []membership.ListedMember {
	if p.sampled >= len(members) {
		p.sampled = 0
	}
	start := p.sampled
	p.sampled = min(start+page, len(members))
	return members[start:p.sampled]
}

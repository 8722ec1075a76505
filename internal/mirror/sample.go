package mirror

import (
	"context"
	"sync"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/source"
)

// sampleCursor is the key after which the next sample starts.
type sampleCursor struct {
	mutex sync.Mutex
	after string
}

// SampleMembers returns the sidecars of one page of the instances, without reading the rest of the
// store. Each call continues after the page before, and starts anew after the last one. The first
// call of each node returns the same page, by which the nodes of a starting fleet agree on who reads
// the store.
func (m *Mirror) SampleMembers(ctx context.Context) (source.MemberList, source.Outcome) {
	m.samples.mutex.Lock()
	defer m.samples.mutex.Unlock()
	page, outcome := m.samplePage(ctx, m.samples.after)
	if !succeeded(outcome) {
		return source.MemberList{}, outcome
	}
	m.samples.after = page.Next
	sampled := newState()
	sampled.apply(page.Items, m.options, m.faults)
	return source.MemberList{
		Members: sampled.members(m.options.MemberOf), Revision: uint64(page.At),
	}, source.Outcome{Status: source.StatusFresh, BytesRead: outcome.BytesRead}
}

func (m *Mirror) samplePage(ctx context.Context, after string) (Page, source.Outcome) {
	ctx, end := source.WithStallTimeout(ctx, m.options.Timeout, m.options.Timeout)
	defer end()
	startedAt := clock.Now()
	page, outcome := m.options.Store.Sample(ctx, after)
	m.recordRead(storeRead{call: callSample, startedAt: startedAt, items: len(page.Items), at: page.At}, outcome)
	return page, outcome
}

package distribution

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/source"
)

// request runs one read of the platform in a goroutine of its own. The read ends when the
// engine cancels it, when the answer has not begun SourceGrace after wait, or when it then
// stalls for SourceGrace.
func (n *Node) request(ctx context.Context, id RequestID, wait time.Duration, read func(context.Context) Event) {
	grace := n.options.Timing.SourceGrace
	requestContext, cancel := source.WithStallTimeout(ctx, wait+grace, grace)
	n.requests[id] = cancel
	n.running.Go(func() {
		defer cancel()
		event := read(requestContext)
		n.post(ctx, requestEnded{request: id, event: event})
	})
}

// requestEnded delivers the answer to a request and removes the request.
type requestEnded struct {
	request RequestID
	event   Event
}

func (event requestEnded) apply(e *Engine) { event.event.apply(e) }

func (n *Node) cancelRequest(id RequestID) {
	if cancel := n.requests[id]; cancel != nil {
		cancel()
	}
	delete(n.requests, id)
}

func (n *Node) awaitSource(ctx context.Context, action AwaitSource) {
	n.request(ctx, action.Request, action.Wait, func(ctx context.Context) Event {
		ctx = source.WithReadInterval(ctx, action.MinInterval)
		version, outcome := n.options.Configuration.AwaitRevision(ctx, action.After, action.Wait)
		n.counters.countSource(outcome)
		return SourceRevision{Request: action.Request, Version: version, Outcome: outcome}
	})
}

func (n *Node) fetchSource(ctx context.Context, action FetchSource) {
	n.request(ctx, action.Request, n.options.Timing.FetchTimeout, func(ctx context.Context) Event {
		document, outcome := n.options.Configuration.Fetch(ctx, action.Held)
		n.counters.countSource(outcome)
		return SourceDocument{Request: action.Request, Document: document, Outcome: outcome}
	})
}

func (n *Node) fetchMembers(ctx context.Context, action FetchMembers) {
	if sampler, ok := n.options.Members.(source.MemberSampler); ok && action.Sample {
		n.sampleMembers(ctx, action, sampler)
		return
	}
	n.request(ctx, action.Request, action.Wait+n.options.Timing.FetchTimeout, func(ctx context.Context) Event {
		list, outcome := n.options.Members.Members(ctx, action.ETag, action.Wait)
		n.counters.countList(outcome)
		return MembersListed{Request: action.Request, Members: list.Members, Revision: list.Revision, ETag: list.ETag, Outcome: outcome}
	})
}

func (n *Node) sampleMembers(ctx context.Context, action FetchMembers, sampler source.MemberSampler) {
	n.request(ctx, action.Request, n.options.Timing.FetchTimeout, func(ctx context.Context) Event {
		list, outcome := sampler.SampleMembers(ctx)
		n.counters.countList(outcome)
		return MembersListed{Request: action.Request, Members: list.Members, Revision: list.Revision, Sample: true, Outcome: outcome}
	})
}

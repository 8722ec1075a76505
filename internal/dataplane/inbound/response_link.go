package inbound

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// EgressLink is the egress direction of the machine's link.
type EgressLink interface {
	// Expect counts a response that is not ready yet, until done is called.
	Expect(bytes int64) (done func())
	// Owed returns how long the link takes to send what is queued and expected.
	Owed() time.Duration
	// Rate returns the rate at which bodies are sent, in bytes per second; zero if it is not known.
	Rate() float64
}

// responseLink admits the requests whose responses are large to the egress direction of the link. A nil
// responseLink admits all.
type responseLink struct {
	egress EgressLink
	sizes  responseSizes
	// hasLarge is set while a route has large responses.
	hasLarge atomic.Bool
	// admission is held from the decision about a request until its response is expected.
	admission sync.Mutex
}

// newResponseLink returns nil if the link is not known or the mechanism is disabled.
func newResponseLink(options Options) (*responseLink, error) {
	if options.Egress == nil || !options.Mechanisms.LinkBacklog || options.Egress.Rate() <= 0 {
		return nil, nil
	}
	created := &responseLink{egress: options.Egress}
	return created, created.register(options.Registerer)
}

// register registers the metrics.
func (l *responseLink) register(registerer prometheus.Registerer) error {
	if registerer == nil {
		return nil
	}
	for _, collector := range []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "winchhead_dataplane_link_backlog_seconds",
			Help: "How long the machine's link takes to send the responses that are queued and expected.",
		}, func() float64 { return l.egress.Owed().Seconds() }),
		usageGauge("winchhead_dataplane_large_response_routes", "Routes whose responses are large on average.",
			func() int { return l.sizes.countFrom(transfer.MinQueuedBytes) }),
	} {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register the metrics of the link")
		}
	}
	return nil
}

// admit decides about a request whose response has the expected size. If it is admitted, its response is
// expected until done is called; otherwise, done is nil and retryAfter is when it would be admitted.
func (l *responseLink) admit(demand linkDemand, mayRefuse bool) (done func(), retryAfter time.Duration) {
	if demand.bytes < transfer.MinQueuedBytes {
		return func() {}, 0
	}
	l.admission.Lock()
	defer l.admission.Unlock()
	if excess := l.excess(demand); excess > 0 && mayRefuse {
		return nil, excess
	}
	return l.egress.Expect(demand.bytes), 0
}

// excess returns by how much a request would exceed its time with the link as it is now. An idle link refuses none:
// after a response that was too large for all requests, only a further one shows that others are not.
func (l *responseLink) excess(demand linkDemand) time.Duration {
	demand.backlog, demand.rate = l.egress.Owed(), l.egress.Rate()
	if demand.backlog == 0 {
		return 0
	}
	return demand.excess()
}

// learn records the size of a response of the instance.
func (l *responseLink) learn(route string, response *message.Response) {
	if response == nil || response.Status >= http.StatusMultipleChoices {
		return
	}
	l.sizes.record(route, response.Length)
	l.hasLarge.Store(l.sizes.countFrom(transfer.MinQueuedBytes) > 0)
}

// report returns the state of the link for other nodes; zero unless a route has large responses.
func (l *responseLink) report() hop.Link {
	if l == nil || !l.hasLarge.Load() {
		return hop.Link{}
	}
	const kibibyte = 1024
	return hop.Link{Backlog: l.egress.Owed(), Rate: max(int(l.egress.Rate()/kibibyte), 1)}
}

// deliverOverLink sends a request to the instance if its response can be sent in time. A request of this
// node itself is always sent, since a response from elsewhere would use the link as well.
func (p *Proxy) deliverOverLink(ctx context.Context, request *message.Request, order hop.Order) Delivery {
	route, known := "", false
	if p.responses != nil {
		route, known = p.routeOf(request)
	}
	if !known {
		return p.deliverAdmitted(ctx, request, order)
	}
	done, retryAfter := p.responses.admit(p.linkDemandOf(request, order, route), !order.Local)
	if done == nil {
		return p.refuse(hop.ReasonLink, retryAfter)
	}
	defer done()
	delivery := p.deliverAdmitted(ctx, request, order)
	p.responses.learn(route, delivery.Response)
	return delivery
}

// responseExcess returns by how much a request of another node whose body is not sent yet would exceed its
// time because of the link, so that the body is not sent in vain.
func (p *Proxy) responseExcess(request *message.Request, order hop.Order) time.Duration {
	if p.responses == nil {
		return 0
	}
	route, known := p.routeOf(request)
	if !known {
		return 0
	}
	return p.responses.excess(p.linkDemandOf(request, order, route))
}

// linkDemandOf returns what the response of a request demands of the link.
func (p *Proxy) linkDemandOf(request *message.Request, order hop.Order, route string) linkDemand {
	bytes := p.responses.sizes.mean(route)
	if bytes < transfer.MinQueuedBytes {
		return linkDemand{}
	}
	elapsed := time.Since(request.Arrived)
	return linkDemand{
		bytes: bytes, slotWait: p.queue.Wait(p.ticketFor(request, order)), serviceTime: order.ServiceTime,
		maxWait: order.MaxWait, remaining: order.Remaining - elapsed,
	}
}

// routeOf returns the name of the route of a request.
func (p *Proxy) routeOf(request *message.Request) (name string, known bool) {
	current := p.options.Snapshots.Current()
	if current == nil {
		return "", false
	}
	route := current.Lookup(request.Method, request.Host, request.Path, request.Header)
	if route == nil {
		return "", false
	}
	return route.Name, true
}

// Package outbound takes the requests of callers: it finds the route, chooses an
// instance, sends the request to the node beside it, and sends it again only when
// that cannot break a promise. Each request gets one final answer, at the latest
// when its time is over.
package outbound

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/losses"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
	"github.com/winchhead/winchhead/internal/dataplane/returns"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// SnapshotSource gives the configuration in force.
type SnapshotSource interface {
	// Current returns nil until the node holds a version.
	Current() *snapshot.Snapshot
}

// Neighbour is the inbound proxy of the same node.
type Neighbour interface {
	Deliver(ctx context.Context, request *message.Request, order hop.Order) inbound.Delivery
}

// Options set up a Proxy.
type Options struct {
	Names     message.Names
	Snapshots SnapshotSource
	// Service is that of the instance beside this node, where requests start.
	Service string
	Zone    string
	// Backend is the address of the instance beside this node, which Neighbour
	// serves; empty: none.
	Backend   string
	Neighbour Neighbour
	// NodePort is where the nodes beside other instances take requests.
	NodePort int
	// LinkBytesPerSecond is the capacity of the machine's link; zero: not known.
	LinkBytesPerSecond float64
	// Mechanisms that are on.
	Mechanisms mechanism.Set
	// Budget bounds the repeats of what starts at this node.
	Budget *budget.Accounts
	// Suspects knows the requests that may crash instances; nil: none is known.
	Suspects *suspects.Ledger
	Logger   logrus.FieldLogger
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
}

// Proxy is safe for concurrent use.
type Proxy struct {
	options  Options
	balancer *balance.Balancer
	nodes    sidecars
	splits   splits
	callers  *returns.Tracker
	losses   *losses.Ledger
	sends    *repeats.Ledger
	log      *requestLog
	metrics  *metrics
	// stopAt is when a planned stop ends, in nanoseconds of the process's clock;
	// zero: none.
	stopAt atomic.Int64
	// stopped ends with Stop.
	stopped context.Context
	stop    context.CancelFunc

	shared sharedRoutes
}

// New returns a Proxy.
func New(options Options) (*Proxy, error) {
	registered, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	if options.Suspects == nil {
		options.Suspects = suspects.NewLedger()
	}
	stopped, stop := context.WithCancel(context.Background())
	created := &Proxy{
		stopped:  stopped,
		stop:     stop,
		options:  options,
		balancer: balance.New(balance.Options{Zone: options.Zone, LocalAddress: options.Backend, Mechanisms: options.Mechanisms}),
		nodes:    newNodes(options),
		callers:  returns.New(),
		losses:   losses.New(options.Logger),
		log:      newRequestLog(options.Logger),
		metrics:  registered,
	}
	created.sends = repeats.New(options.Logger, created.account)
	return created, nil
}

// Drain announces the end of a planned stop: from now on, requests that might not
// be answered by then are refused.
func (p *Proxy) Drain(end time.Time) { p.stopAt.Store(int64(end.Sub(epoch))) }

// Stop gives each request in progress its final answer now.
func (p *Proxy) Stop() { p.stop() }

// epoch is the zero of the process's clock.
var epoch = time.Now()

// endsBefore reports whether a planned stop ends before a moment.
func (p *Proxy) endsBefore(deadline time.Time) bool {
	stopAt := p.stopAt.Load()
	return stopAt > 0 && deadline.Sub(epoch) > time.Duration(stopAt)
}

// Maintain closes connections that rested for too long, and writes what is due.
func (p *Proxy) Maintain(now time.Time) {
	p.nodes.prune(now)
	p.losses.Flush(now)
	p.sends.Flush(now)
}

// Close closes the connections that rest.
func (p *Proxy) Close() { p.nodes.close() }

// unconfiguredRetry is when a request is worth sending again to a node that holds
// no configuration yet.
const unconfiguredRetry = 300 * time.Millisecond

// stoppingRetry is when a request is worth sending again to a node that stops.
const stoppingRetry = time.Second

// Serve answers one request of a caller.
func (p *Proxy) Serve(ctx context.Context, request *message.Request) *message.Answer {
	if request.SenderGone() {
		return &message.Answer{Abort: true}
	}
	current := p.options.Snapshots.Current()
	if current == nil {
		return p.refuseUnconfigured(request)
	}
	route := current.Lookup(request.Method, request.Host, request.Path, request.Header)
	if route == nil {
		p.log.noRoute(request, current)
		p.metrics.ended("", outcomeNoRoute, 0)
		return p.problem(request, http.StatusNotFound, "no route takes the request", 0)
	}
	callerTime, ok := p.callerTimeOf(request, route)
	if !ok {
		return p.problem(request, http.StatusBadRequest, p.options.Names.Deadline+" is not a number of milliseconds", 0)
	}
	deadline := request.Arrived.Add(min(callerTime, route.Timeout))
	if p.endsBefore(deadline) {
		p.metrics.ended("", outcomeNotRun, 0)
		return p.problem(request, http.StatusServiceUnavailable, "the node stops", stoppingRetry)
	}
	p.strip(request.Header)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	release := context.AfterFunc(p.stopped, cancel)
	defer release()
	running := &exchange{
		proxy: p, ctx: ctx, request: request, current: current, route: route,
		deadline: deadline, callerTime: callerTime, caller: p.callers.Arrived(route.Name, callerTime, request.Arrived), service: p.splits.choose(route), tried: make(map[string]bool),
	}
	answer := running.run()
	if answer.Stream != nil {
		answer.Stream = &cancelling{ReadCloser: answer.Stream, cancel: cancel}
		return answer
	}
	cancel()
	return answer
}

// Refuse makes the answer to a request that the server could not take.
func (p *Proxy) Refuse(status int, reason string) *message.Answer {
	p.metrics.ended("", outcomeMalformed, 0)
	return p.problem(nil, status, reason, 0)
}

func (p *Proxy) refuseUnconfigured(request *message.Request) *message.Answer {
	p.metrics.ended("", outcomeNotRun, 0)
	return p.problem(request, http.StatusServiceUnavailable, "the node holds no configuration yet", unconfiguredRetry)
}

// callerTimeOf is how long the caller waits; one that does not say so waits as long
// as the route allows.
func (p *Proxy) callerTimeOf(request *message.Request, route *snapshot.Route) (time.Duration, bool) {
	values := request.Header[p.options.Names.Deadline]
	if len(values) == 0 {
		return route.Timeout, true
	}
	millis, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || millis < 0 || millis > maxCallerMillis || len(values) > 1 {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// maxCallerMillis bounds the time that a caller may name (a day).
const maxCallerMillis = 24 * 60 * 60 * 1000

// strip removes what only the system may say to an instance.
func (p *Proxy) strip(header http.Header) {
	names := p.options.Names
	for _, name := range []string{
		names.RequestID, names.Deadline, names.ExpectInstance, names.CallerService,
		names.NotExecuted, names.Load, hop.Header,
	} {
		delete(header, name)
	}
}

const (
	headerRetryAfter  = "Retry-After"
	headerContentType = "Content-Type"
	plainText         = "text/plain; charset=utf-8"
)

// problem is an answer of the system itself.
func (p *Proxy) problem(request *message.Request, status int, reason string, retryAfter time.Duration) *message.Answer {
	answer := message.Whole(status, nil, []byte(reason+"\n"))
	answer.Header[headerContentType] = []string{plainText}
	if request != nil && p.options.Names.RequestID != "" {
		answer.Header[p.options.Names.RequestID] = []string{request.ID}
	}
	if retryAfter > 0 {
		answer.Header[headerRetryAfter] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	return answer
}

// cancelling ends the exchange with the stream of its answer.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the stream, then its exchange.
func (c *cancelling) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

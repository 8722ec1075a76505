package storesoak

import (
	"context"
	"math/rand/v2"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
)

// bytesPerMegabit converts Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// linkFactors are the possible link rates as multiples of the slowest, for small to large
// machines.
var linkFactors = []float64{1, 1, 2, 5, 10, 20}

// linkRates draws the link rates of machines.
type linkRates struct {
	random  *rand.Rand
	slowest float64 // Mbit/s; zero: no limit
}

func newLinkRates(options Options) *linkRates {
	const stream = 2 // independent of the draws of faults and calls
	return &linkRates{random: rand.New(rand.NewPCG(options.Seed, options.Seed+stream)), slowest: options.SlowestLink}
}

// draw returns a rate in bytes per second; zero: no limit.
func (l *linkRates) draw() int64 {
	factor := linkFactors[l.random.IntN(len(linkFactors))]
	return int64(l.slowest * factor * bytesPerMegabit)
}

// linkProxy is a fault proxy on a link with a rate limit. Its stalling proxy can make all open
// connections fall silent.
type linkProxy struct {
	*faultproxy.Proxy
	stalling *faultproxy.StallingProxy
	rate     int64
}

// newLinkProxy starts a proxy at listen that forwards to upstream through a stalling proxy at
// stallingListen.
func newLinkProxy(name, listen, stallingListen, upstream string, rate int64) (*linkProxy, error) {
	stalling, err := faultproxy.NewStallingProxy(stallingListen, upstream, nil)
	if err != nil {
		return nil, err
	}
	proxy, err := faultproxy.New(name, listen, stalling.Address())
	if err != nil {
		stalling.Close()
		return nil, err
	}
	created := &linkProxy{Proxy: proxy, stalling: stalling, rate: rate}
	return created, created.limitRate()
}

var bothWays = []faultproxy.Direction{faultproxy.TowardsServer, faultproxy.TowardsClient}

// limitRate limits each connection to the rate.
func (l *linkProxy) limitRate() error {
	if l.rate == 0 {
		return nil
	}
	for _, way := range bothWays {
		if err := l.Inject(faultproxy.Fault{Kind: faultproxy.Throttle, Direction: way, BytesPerSecond: l.rate}); err != nil {
			return err
		}
	}
	return nil
}

// heal removes all faults but the rate limit.
func (l *linkProxy) heal(ctx context.Context) error {
	l.Heal(ctx)
	return l.limitRate()
}

// close closes the proxy and its connections.
func (l *linkProxy) close() {
	l.Close()
	l.stalling.Close()
}

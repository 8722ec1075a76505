// Package faultproxy puts a fault-injecting TCP proxy on one hop of a mesh. It
// embeds toxiproxy and defines typed names for the faults that the experiments need.
// When faults occur and what must hold during them is up to the callers.
package faultproxy

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Direction is the direction of a connection that a fault affects.
type Direction string

// The directions, seen from the side that opened the connection.
const (
	// TowardsServer affects what the client sends.
	TowardsServer Direction = "upstream"
	// TowardsClient affects what the server sends back.
	TowardsClient Direction = "downstream"
)

// Kind is what a fault does to the data of a connection.
type Kind string

// The kinds of fault.
const (
	// Reset drops the first bytes of the direction and resets both sides.
	Reset Kind = "reset_peer"
	// CutAfter closes the connection after Fault.Bytes bytes were forwarded.
	CutAfter Kind = "limit_data"
	// Stall forwards nothing and keeps the connection open.
	Stall Kind = "timeout"
	// Delay delays all data by Fault.Delay.
	Delay Kind = "latency"
	// Throttle limits the rate to Fault.BytesPerSecond.
	Throttle Kind = "bandwidth"
)

// Fault describes one fault to inject on a hop.
type Fault struct {
	Kind      Kind
	Direction Direction
	// Delay is used by the kind Delay only.
	Delay time.Duration
	// Bytes is used by the kind CutAfter only.
	Bytes int64
	// BytesPerSecond is used by the kind Throttle only and is rounded up to a
	// multiple of 1024.
	BytesPerSecond int64
}

// attributes is toxiproxy's JSON form of a fault's parameters.
type attributes struct {
	Latency int64 `json:"latency,omitempty"`
	Bytes   int64 `json:"bytes"`
	Rate    int64 `json:"rate,omitempty"`
	Timeout int64 `json:"timeout"`
}

// toxic is toxiproxy's JSON form of a fault.
type toxic struct {
	Name       string     `json:"name"`
	Type       Kind       `json:"type"`
	Stream     Direction  `json:"stream"`
	Attributes attributes `json:"attributes"`
}

const bytesPerKilobyte = 1024

func (f Fault) toxic() toxic {
	return toxic{
		Name:   string(f.Kind) + "-" + string(f.Direction),
		Type:   f.Kind,
		Stream: f.Direction,
		Attributes: attributes{
			Latency: f.Delay.Milliseconds(),
			Bytes:   f.Bytes,
			Rate:    (f.BytesPerSecond + bytesPerKilobyte - 1) / bytesPerKilobyte,
		},
	}
}

// Proxy is a TCP proxy on one hop. Without an injected fault it forwards everything.
type Proxy struct {
	proxy *toxiproxy.Proxy
	// lock serializes changes, during which toxiproxy waits for each connection.
	lock sync.Mutex
}

// disableToxiproxyLogs stops toxiproxy from logging every connection to standard error.
var disableToxiproxyLogs = sync.OnceFunc(func() { zerolog.SetGlobalLevel(zerolog.Disabled) })

// New starts a proxy that listens on listen (IP:port, port 0 for any free port) and
// forwards to upstream.
func New(name, listen, upstream string) (*Proxy, error) {
	disableToxiproxyLogs()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, name, listen, upstream)
	if err := proxy.Start(); err != nil {
		return nil, eris.Wrapf(err, "start fault proxy %s on %s", name, listen)
	}
	return &Proxy{proxy: proxy}, nil
}

// Address returns the address that the proxy listens on (IP:port).
func (p *Proxy) Address() string { return p.proxy.Listen }

// Inject adds a fault to open and later connections. A previous fault of the same
// kind and direction must be removed by Heal first.
func (p *Proxy) Inject(fault Fault) error {
	body, err := json.Marshal(fault.toxic())
	if err != nil {
		return eris.Wrap(err, "encode fault")
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if _, err := p.proxy.Toxics.AddToxicJson(bytes.NewReader(body)); err != nil {
		return eris.Wrapf(err, "inject %s", fault.Kind)
	}
	return nil
}

// Heal removes all faults. Connections that a fault closed stay closed.
func (p *Proxy) Heal(ctx context.Context) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.proxy.Toxics.ResetToxics(ctx)
}

// Refuse closes the listener and all connections, so that new connections are refused.
func (p *Proxy) Refuse() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.proxy.Stop()
}

// Accept opens the listener again after Refuse.
func (p *Proxy) Accept() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.proxy.Enabled {
		return nil
	}
	return eris.Wrap(p.proxy.Start(), "restart the fault proxy")
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() { p.Refuse() }

// FreePorts returns distinct ports that were free on host at the time of the call.
func FreePorts(host string, count int) ([]int, error) {
	ports := make([]int, count)
	for i := range ports {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, eris.Wrapf(err, "no free port on %s", host)
		}
		defer listener.Close() // only after all ports are found, so that they are distinct
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

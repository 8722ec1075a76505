package mesh

import (
	"net"
	"net/url"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/settings"
)

// Hop names a connection of a node where a fault proxy may stand.
type Hop string

// The hops.
const (
	// HopBackend is from the node to the back end beside it.
	HopBackend Hop = "backend"
	// HopData is from other nodes to the node's inbound proxy.
	HopData Hop = "data"
	// HopPlatform is from the node to the platform.
	HopPlatform Hop = "platform"
	// HopPeers is from other nodes' links to the node.
	HopPeers Hop = "peers"
)

// hopKey names one fault proxy.
type hopKey struct {
	node string
	hop  Hop
}

type hopTable map[hopKey]*faultproxy.Proxy

// Hop returns the fault proxy on a hop of a node; it panics when Options.Hops
// doesn't list the hop.
func (m *Mesh) Hop(node string, hop Hop) *faultproxy.Proxy {
	proxy, ok := m.hops[hopKey{node, hop}]
	if !ok {
		panic("no fault proxy stands on hop " + string(hop) + " of " + node)
	}
	return proxy
}

// install puts fault proxies on the hops of a node and points its settings at
// them.
func (t hopTable) install(hops []Hop, node deployment.Node) (deployment.Node, error) {
	overrides := settings.Overrides{}
	for _, hop := range hops {
		target, apply, err := hopTarget(hop, node)
		if err != nil {
			return node, err
		}
		if target == "" {
			continue
		}
		host, _, err := net.SplitHostPort(target)
		if err != nil {
			return node, err
		}
		proxy, err := faultproxy.New(node.Node.Name+"-"+string(hop), net.JoinHostPort(host, "0"), target)
		if err != nil {
			return node, err
		}
		t[hopKey{node.Node.Name, hop}] = proxy
		apply(overrides, proxy.Address())
	}
	return node.With(overrides)
}

// hopTarget returns where a hop leads, or "" when the node has no such hop, and
// how to point the settings elsewhere.
func hopTarget(hop Hop, node deployment.Node) (target string, apply func(settings.Overrides, string), err error) {
	set := func(key string) func(settings.Overrides, string) {
		return func(overrides settings.Overrides, address string) { overrides[key] = address }
	}
	switch hop {
	case HopBackend:
		return node.Inbound.Backend, set("inbound.backend"), nil
	case HopData:
		return node.Inbound.Listen, set("inbound.advertise"), nil
	case HopPeers:
		return node.Peers.Listen, set("peers.advertise"), nil
	case HopPlatform:
		platform, err := url.Parse(node.Platform.URL)
		if err != nil {
			return "", nil, err
		}
		return platform.Host, func(overrides settings.Overrides, address string) {
			overrides["platform.url"] = "http://" + address
		}, nil
	default:
		panic("unknown hop " + string(hop))
	}
}

func (t hopTable) close() {
	for _, proxy := range t {
		proxy.Close()
	}
}

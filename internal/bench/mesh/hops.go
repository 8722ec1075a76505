package mesh

import (
	"net"
	"net/url"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/settings"
)

// Hop identifies a connection to or from a node on which a fault proxy can be placed.
type Hop string

// The hops.
const (
	// HopBackend is from the sidecar to its backend.
	HopBackend Hop = "backend"
	// HopData is from other nodes to the node's inbound proxy.
	HopData Hop = "data"
	// HopPlatform is from the node to the platform.
	HopPlatform Hop = "platform"
	// HopPeers is from other nodes to the node's listener for peer links.
	HopPeers Hop = "peers"
)

// hopKey identifies one fault proxy.
type hopKey struct {
	node string
	hop  Hop
}

type hopTable map[hopKey]*faultproxy.Proxy

// Hop returns the fault proxy on a hop of a node. It panics if there is none, such
// as when Options.Hops doesn't list the hop.
func (m *Mesh) Hop(node string, hop Hop) *faultproxy.Proxy {
	proxy, ok := m.hops[hopKey{node, hop}]
	if !ok {
		panic("there is no fault proxy on hop " + string(hop) + " of " + node)
	}
	return proxy
}

// install starts fault proxies on the hops of a node and returns the node with
// settings that point to them.
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

// hopTarget returns the address that a hop leads to, or "" if the node has no such
// hop, and a function that sets another address in the node's settings.
func hopTarget(hop Hop, node deployment.Node) (target string, apply func(settings.Overrides, string), err error) {
	setting := func(key string) func(settings.Overrides, string) {
		return func(overrides settings.Overrides, address string) { overrides[key] = address }
	}
	switch hop {
	case HopBackend:
		return node.Inbound.Backend, setting("inbound.backend"), nil
	case HopData:
		return node.Inbound.Listen, setting("inbound.advertise"), nil
	case HopPeers:
		return node.Peers.Listen, setting("peers.advertise"), nil
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

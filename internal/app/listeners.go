package app

import (
	"net"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/settings"
)

// listeners are the open ports of a node. outbound, inbound and metrics are nil if the
// settings turn them off.
type listeners struct {
	peers    net.Listener
	outbound net.Listener
	inbound  net.Listener
	admin    net.Listener
	metrics  net.Listener
}

// openListeners opens all ports that the settings name. If one fails, it closes the others.
func openListeners(configured settings.Settings) (*listeners, error) {
	opened := &listeners{}
	wanted := []struct {
		key, address string
		target       *net.Listener
	}{
		{"peers.listen", configured.Peers.Listen, &opened.peers},
		{"outbound.listen", configured.Outbound.Listen, &opened.outbound},
		{"inbound.listen", inboundAddress(configured), &opened.inbound},
		{"admin.listen", configured.Admin.Listen, &opened.admin},
		{"admin.metrics_listen", configured.Admin.MetricsListen, &opened.metrics},
	}
	for _, want := range wanted {
		if want.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", want.address)
		if err != nil {
			opened.close()
			return nil, eris.Wrapf(err, "%s", want.key)
		}
		*want.target = listener
	}
	return opened, nil
}

// inboundAddress returns the address to listen on, or "" for a node without a backend.
func inboundAddress(configured settings.Settings) string {
	if configured.Inbound.Service == "" {
		return ""
	}
	return configured.Inbound.Listen
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.peers, l.outbound, l.inbound, l.admin, l.metrics} {
		if listener != nil {
			_ = listener.Close() // it may have been closed already
		}
	}
}

// Addresses are the bound addresses of a node (IP:port). Empty ones are turned off.
type Addresses struct {
	Peers    string
	Outbound string
	Inbound  string
	Admin    string
}

func (l *listeners) addresses() Addresses {
	return Addresses{
		Peers:    boundAddress(l.peers),
		Outbound: boundAddress(l.outbound),
		Inbound:  boundAddress(l.inbound),
		Admin:    boundAddress(l.admin),
	}
}

func boundAddress(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

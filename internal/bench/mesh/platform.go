package mesh

import (
	"context"
	"net"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/emulator/platform"
)

// Platform is the emulated platform, served over TCP.
type Platform struct {
	*platform.Platform
	address string
	cancel  context.CancelFunc
	served  chan error
}

// startPlatform serves the platform at the address in the nodes' settings.
func startPlatform(options platform.Options, plan *deployment.Deployment) (*Platform, error) {
	options.Content = plan.Content
	emulated, err := platform.New(options)
	if err != nil {
		return nil, err
	}
	target, err := url.Parse(plan.Nodes[0].Platform.URL)
	if err != nil {
		return nil, eris.Wrap(err, "parse the platform URL")
	}
	p := &Platform{Platform: emulated, address: target.Host}
	return p, p.EndOutage()
}

// EndOutage ends an outage: the platform serves again.
func (p *Platform) EndOutage() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return eris.Wrap(err, "serve the platform")
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	p.cancel, p.served = cancel, served
	go func() { served <- p.Serve(ctx, listener) }()
	return nil
}

// BeginOutage closes all connections and refuses new ones until EndOutage.
func (p *Platform) BeginOutage() error {
	if p.cancel == nil {
		return nil
	}
	p.cancel()
	p.cancel = nil
	return <-p.served
}

func (p *Platform) close() error { return p.BeginOutage() }

package deployment

import (
	"net"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/settings"
)

// WithHost returns the deployment with the IP of every address replaced by host, so that
// several deployments can run on one machine. The ports stay the same.
func (d *Deployment) WithHost(host string) (*Deployment, error) {
	return d.Map(func(node Node) (settings.Overrides, error) { return addressesOn(node.Settings, host) })
}

// Map returns the deployment with additional overrides for each node, which change
// returns.
func (d *Deployment) Map(change func(Node) (settings.Overrides, error)) (*Deployment, error) {
	mapped := &Deployment{Name: d.Name, Content: d.Content, Nodes: make([]Node, 0, len(d.Nodes))}
	for _, node := range d.Nodes {
		overrides, err := change(node)
		if err != nil {
			return nil, eris.Wrapf(err, "change the settings of %s", node.Node.Name)
		}
		changed, err := node.With(overrides)
		if err != nil {
			return nil, err
		}
		mapped.Nodes = append(mapped.Nodes, changed)
	}
	return mapped, nil
}

// addressesOn returns the overrides that replace the IP of every address by host.
func addressesOn(node settings.Settings, host string) (settings.Overrides, error) {
	platform, err := url.Parse(node.Platform.URL)
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{
		"peers.listen": node.Peers.Listen, "peers.advertise": node.Peers.Advertise,
		"outbound.listen": node.Outbound.Listen,
		"inbound.listen":  node.Inbound.Listen, "inbound.advertise": node.Inbound.Advertise,
		"inbound.backend": node.Inbound.Backend, "admin.listen": node.Admin.Listen,
	}
	overrides := settings.Overrides{}
	for key, address := range addresses {
		if address == "" {
			continue
		}
		if overrides[key], err = withHost(address, host); err != nil {
			return nil, err
		}
	}
	if platform.Host, err = withHost(platform.Host, host); err != nil {
		return nil, err
	}
	overrides["platform.url"] = platform.String()
	return overrides, nil
}

func withHost(address, host string) (string, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, port), nil
}

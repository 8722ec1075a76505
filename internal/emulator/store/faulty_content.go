package store

import "encoding/json"

// faultyConfiguration is a configuration with further elements in its lists, in any form.
type faultyConfiguration struct {
	Configuration
	Services     []any `json:"services"`
	VirtualHosts []any `json:"virtualHosts"`
}

// UnreadableConfiguration is an entry that is not a configuration at all.
func UnreadableConfiguration() []byte { return []byte(`{"version":1,"virtualHosts":[`) }

// Encode returns the entry of the configuration.
func (c Configuration) Encode() []byte { return encode(c) }

// EncodeWithFaults returns the entry of the configuration with further values that nodes cannot use: they must
// not cost the other resources. An unusable route of the first host lies below the prefix of its first route.
func (c Configuration) EncodeWithFaults() []byte {
	entry := faultyConfiguration{Configuration: c}
	for _, service := range c.Services {
		entry.Services = append(entry.Services, service)
	}
	for _, virtualHost := range c.VirtualHosts {
		entry.VirtualHosts = append(entry.VirtualHosts, virtualHost)
	}
	type members = map[string]any
	first := c.VirtualHosts[0]
	entry.Services = append(entry.Services, 7, members{"name": "añil; 1", "maxConnections": "many"}, members{"maxConnections": 2.5})
	entry.VirtualHosts = append(entry.VirtualHosts,
		members{"host": first.Host, "paths": []any{members{"name": "odd", "pathPrefix": first.Paths[0].PathPrefix + "odd/", "service": 7}}},
		members{"host": "other.example", "paths": []any{
			members{"name": first.Paths[0].Name, "pathPrefix": "/", "service": "nowhere"}, members{"name": "a b", "pathPrefix": 7}, nil,
		}},
		members{"host": 7, "paths": "none"},
	)
	return encode(entry)
}

func encode(configuration any) []byte {
	body, err := json.Marshal(configuration)
	if err != nil {
		panic(err) // configurations can be encoded as JSON
	}
	return body
}

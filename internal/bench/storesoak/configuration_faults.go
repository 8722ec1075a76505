package storesoak

import (
	"encoding/json"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

// faultyEntry is a configuration with further elements in its lists, in any form.
type faultyEntry struct {
	store.Configuration
	Services     []any `json:"services"`
	VirtualHosts []any `json:"virtualHosts"`
}

// unreadableEntry is an entry that is not a configuration at all.
var unreadableEntry = []byte(`{"version":1,"virtualHosts":[`)

// encodeWithFaults returns the entry of a configuration that also holds values which nodes cannot use: they
// must not cost the other resources. The unusable route of the soak's host lies below one that callers use.
func encodeWithFaults(written store.Configuration) []byte {
	entry := faultyEntry{Configuration: written}
	for _, service := range written.Services {
		entry.Services = append(entry.Services, service)
	}
	for _, virtualHost := range written.VirtualHosts {
		entry.VirtualHosts = append(entry.VirtualHosts, virtualHost)
	}
	type members = map[string]any
	entry.Services = append(entry.Services, 7, members{"name": "añil; 1", "maxConnections": "many"}, members{"maxConnections": 2.5})
	entry.VirtualHosts = append(entry.VirtualHosts,
		members{"host": host, "paths": []any{members{"name": "odd", "pathPrefix": pathRead + "odd/", "service": 7}}},
		members{"host": "other.example", "paths": []any{
			members{"name": "read", "pathPrefix": pathRead, "service": "nowhere"}, members{"name": "a b", "pathPrefix": 7}, nil,
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

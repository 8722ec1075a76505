package snapshot

import "net/http"

// routeTable finds the route of a request.
type routeTable struct{}

func (routeTable) lookup(method, host, path string, header http.Header) *Route { return nil }

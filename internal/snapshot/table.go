package snapshot

import (
	"net/http"
	"slices"
	"strings"
)

// routeTable finds the route of a request by host, then by path segments, then in declared order. A
// lookup does not allocate.
//
// Routes for the request's host take precedence over routes for any host. Among those, the longest
// path prefix wins, and among equal prefixes the first declared route whose methods and headers
// match.
type routeTable struct {
	hosts   map[string]*pathNode
	anyHost *pathNode
	// hasPorts is set if there are routes for a host with a port. They take precedence over those for the
	// host with any port.
	hasPorts bool
}

// pathNode is one segment of the path prefixes of a host.
type pathNode struct {
	children map[string]*pathNode
	entries  []tableEntry
}

// tableEntry is a route with its headers in a fixed order.
type tableEntry struct {
	route   *Route
	headers []headerValue
}

type headerValue struct{ name, value string }

// newRouteTable indexes the routes. The table refers to the elements of the slice.
func newRouteTable(routes []Route) routeTable {
	table := routeTable{hosts: map[string]*pathNode{}, anyHost: &pathNode{}}
	for i := range routes {
		route := &routes[i]
		node := table.ensureHost(route.Match.Host).ensurePath(route.Match.PathPrefix)
		node.entries = append(node.entries, newTableEntry(route))
	}
	return table
}

func newTableEntry(route *Route) tableEntry {
	entry := tableEntry{route: route}
	for name, value := range route.Match.Headers {
		entry.headers = append(entry.headers, headerValue{name: name, value: value})
	}
	slices.SortFunc(entry.headers, func(a, b headerValue) int { return strings.Compare(a.name, b.name) })
	return entry
}

// ensureHost returns the tree of a host, which it creates if necessary.
func (t *routeTable) ensureHost(host string) *pathNode {
	if host == "" {
		return t.anyHost
	}
	host = strings.ToLower(host)
	node, ok := t.hosts[host]
	if !ok {
		node = &pathNode{}
		t.hosts[host] = node
		t.hasPorts = t.hasPorts || host != hostName(host)
	}
	return node
}

// ensurePath returns the node of a path prefix, which it creates if necessary.
func (n *pathNode) ensurePath(prefix string) *pathNode {
	rest := trimSlashes(prefix)
	for rest != "" {
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		child, ok := n.children[segment]
		if !ok {
			child = &pathNode{}
			if n.children == nil {
				n.children = map[string]*pathNode{}
			}
			n.children[segment] = child
		}
		n = child
	}
	return n
}

func (t *routeTable) lookup(method, host, path string, header http.Header) *Route {
	rest, rooted := strings.CutPrefix(path, "/")
	if !rooted {
		// For example "*" of OPTIONS, which only routes without a path prefix match.
		rest = ""
	}
	if t.hasPorts {
		if tree := t.hostTree(host); tree != nil {
			if route := tree.find(method, path, rest, header); route != nil {
				return route
			}
		}
	}
	if tree := t.hostTree(hostName(host)); tree != nil {
		if route := tree.find(method, path, rest, header); route != nil {
			return route
		}
	}
	if t.anyHost == nil {
		return nil
	}
	return t.anyHost.find(method, path, rest, header)
}

// hostTree returns the tree for a host, or nil.
func (t *routeTable) hostTree(host string) *pathNode {
	if !hasUpper(host) {
		return t.hosts[host]
	}
	var buffer [maxHostBytes]byte
	if len(host) > len(buffer) {
		return nil
	}
	lower := buffer[:0]
	for i := range len(host) {
		lower = append(lower, lowerByte(host[i]))
	}
	return t.hosts[string(lower)] // this conversion in a map lookup does not allocate
}

// find returns the matching route with the longest prefix. The recursion depth is at most the number of
// segments of the longest prefix.
func (n *pathNode) find(method, path, rest string, header http.Header) *Route {
	if len(n.children) > 0 && rest != "" {
		segment, next, _ := strings.Cut(rest, "/")
		if child, ok := n.children[segment]; ok {
			if route := child.find(method, path, next, header); route != nil {
				return route
			}
		}
	}
	for i := range n.entries {
		if n.entries[i].matches(method, path, header) {
			return n.entries[i].route
		}
	}
	return nil
}

func (e *tableEntry) matches(method, path string, header http.Header) bool {
	if e.route.Match.Literal && !strings.HasPrefix(path, e.route.Match.PathPrefix) {
		return false
	}
	if !matchesMethod(e.route.Match.Methods, method) {
		return false
	}
	for _, wanted := range e.headers {
		if !matchesHeader(header, wanted.name, wanted.value) {
			return false
		}
	}
	return true
}

// matchesMethod reports whether the methods of a match include the method.
func matchesMethod(methods []string, method string) bool {
	if len(methods) == 0 {
		return true
	}
	for _, accepted := range methods {
		if accepted == method {
			return true
		}
	}
	return false
}

// matchesHeader reports whether the header occurs exactly once and has the value. A repeated header
// never matches, as the backend might use the other value.
func matchesHeader(header http.Header, name, value string) bool {
	values := header[name]
	return len(values) == 1 && values[0] == value
}

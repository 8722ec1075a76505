package snapshot

import "strings"

// maxHostBytes is the maximum length of a DNS host name.
const maxHostBytes = 253

// hostName strips the port and the trailing dot from the host of a request.
func hostName(host string) string {
	if strings.HasPrefix(host, "[") {
		if end := strings.IndexByte(host, ']'); end > 0 {
			return host[1:end]
		}
		return host
	}
	if colon := strings.IndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.TrimSuffix(host, ".")
}

func hasUpper(s string) bool {
	for i := range len(s) {
		if s[i] >= 'A' && s[i] <= 'Z' {
			return true
		}
	}
	return false
}

func lowerByte(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + ('a' - 'A')
	}
	return b
}

// matchesHost reports whether the host of a request matches the wanted host, which has a port only if
// the request must have the same.
func matchesHost(wanted, host string) bool {
	return wanted == "" || equalsLower(wanted, host) || equalsLower(wanted, hostName(host))
}

// equalsLower reports whether a lower-case text equals another one in lower case.
func equalsLower(lower, text string) bool {
	if len(lower) != len(text) {
		return false
	}
	for i := range len(text) {
		if lowerByte(text[i]) != lower[i] {
			return false
		}
	}
	return true
}

func (m Match) matchesPath(path string) bool {
	if !m.Literal {
		return matchesPath(m.PathPrefix, path)
	}
	rest, found := strings.CutPrefix(path, m.PathPrefix)
	return found && (rest == "" || rest[0] == '/' || m.PathPrefix == "" || strings.HasSuffix(m.PathPrefix, "/"))
}

// matchesPath reports whether the prefix covers whole segments of the path.
func matchesPath(prefix, path string) bool {
	wanted := strings.Trim(prefix, "/")
	if wanted == "" {
		return true
	}
	rest, rooted := strings.CutPrefix(path, "/")
	if !rooted {
		return false
	}
	rest, found := strings.CutPrefix(rest, wanted)
	return found && (rest == "" || rest[0] == '/')
}

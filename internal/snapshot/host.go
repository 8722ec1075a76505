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

// matchesHost reports whether the host of a request matches the wanted host name.
func matchesHost(wanted, host string) bool {
	if wanted == "" {
		return true
	}
	name := hostName(host)
	if len(name) != len(wanted) {
		return false
	}
	for i := range len(name) {
		if lowerByte(name[i]) != wanted[i] {
			return false
		}
	}
	return true
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

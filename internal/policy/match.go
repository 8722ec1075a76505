package policy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"go.starlark.net/starlark"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

const (
	maxHostBytes   = 253
	maxPathBytes   = 256
	maxHeaderBytes = 256
	maxPrefixBytes = 64
)

// knownMethods are the methods a route can match. CONNECT and TRACE are excluded,
// as they are addressed to proxies themselves.
var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost,
	http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// reservedHeaders describe the connection or the body. The proxy sets or removes
// them, so policies can neither match nor set them.
var reservedHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Via",
	outcome.HeaderTimeout, outcome.HeaderIdempotencyKey,
}

// callerHeaders are set by callers; a secret must not overwrite them.
var callerHeaders = []string{
	"Accept", "Accept-Encoding", "Content-Encoding", "Content-Language",
	"Content-Location", "Content-Range", "Content-Type", "Cookie", "Date",
	"Forwarded", "If-Match", "If-Modified-Since", "If-None-Match", "If-Range",
	"If-Unmodified-Since", "Origin", "Range", "Referer", "Set-Cookie",
	"User-Agent", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
}

// checkSecretHeader returns the canonical name of a header that may carry a
// secret.
func checkSecretHeader(name string) (string, error) {
	canonical, err := checkHeaderName(name)
	if err != nil {
		return "", err
	}
	if slices.Contains(callerHeaders, canonical) {
		return "", problemf(`use a header such as "Authorization" or "X-Api-Key"`, "header %s belongs to the caller's request and cannot carry a secret", canonical)
	}
	return canonical, nil
}

// checkHeaderName returns the canonical name of a header that policies may use.
func checkHeaderName(name string) (string, error) {
	if !isToken(name) || len(name) > maxNameBytes {
		return "", problemf("a header name consists of letters, digits and '-'", "%q is not a valid header name", truncate(name))
	}
	canonical := textproto.CanonicalMIMEHeaderKey(name)
	if strings.HasPrefix(canonical, outcome.InternalPrefix) || slices.Contains(reservedHeaders, canonical) {
		return "", problemf("choose another header", "header %s is reserved for the proxy", canonical)
	}
	return canonical, nil
}

func isToken(name string) bool {
	const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return name != "" && strings.Trim(name, tokenBytes) == ""
}

// isPrintableASCII reports whether text consists of printable ASCII characters, which
// are safe in a header.
func isPrintableASCII(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// checkHost returns the host in lower case.
func checkHost(host string) (string, error) {
	if host == "" {
		return "", nil
	}
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-."
	lower := strings.ToLower(host)
	if len(lower) > maxHostBytes || strings.Trim(lower, allowed) != "" || strings.HasSuffix(lower, ".") {
		return "", problemf(`write a full name without a port, such as "reservas.mesh"; leave out host= to match any`, "%q is not a valid host name", truncate(host))
	}
	return lower, nil
}

// checkPath checks a path prefix.
func checkPath(path string) error {
	if path == "" {
		return nil
	}
	if path[0] != '/' {
		return problemf(`write "/`+truncate(path)+`"`, "path %q does not start with a slash", truncate(path))
	}
	if len(path) > maxPathBytes || !isPrintableASCII(path) || strings.ContainsAny(path, " ?#%*\\\"<>{}|^`") {
		return problemf("write the literal start of the path, without wildcards, query or escapes", "path %q cannot be matched", truncate(path))
	}
	trimmed := strings.Trim(path, "/")
	parts := strings.Split(trimmed, "/")
	if len(parts) > maxPathSegments {
		return problemf("shorten it", "path %q has more than %d segments", truncate(path), maxPathSegments)
	}
	for _, part := range parts {
		if part == "." || part == ".." || (part == "" && trimmed != "") {
			return problemf("remove that segment", "path %q has an empty or a dot segment", truncate(path))
		}
	}
	return nil
}

// parseMethods returns the methods in a list; None or no value gives none.
func parseMethods(argument string, value starlark.Value) ([]string, error) {
	if value == nil || value == starlark.None {
		return nil, nil
	}
	list, ok := value.(*starlark.List)
	if !ok {
		return nil, problemf(`write `+argument+`=["GET"]`, "%s= does not accept a value of type %s", argument, value.Type())
	}
	var methods []string
	for element := range list.Elements() {
		method, _ := starlark.AsString(element)
		if !slices.Contains(knownMethods, method) {
			return nil, problemf("the methods are "+strings.Join(knownMethods, ", "), "%s= contains an element that is not a method in upper case", argument)
		}
		if slices.Contains(methods, method) {
			return nil, problemf("remove one", "%s= contains %s twice", argument, method)
		}
		methods = append(methods, method)
	}
	return methods, nil
}

// parseMatchHeaders returns the header names and exact values in a dict.
func parseMatchHeaders(dict *starlark.Dict) (map[string]string, error) {
	if dict == nil || dict.Len() == 0 {
		return nil, nil
	}
	if dict.Len() > maxHeaders {
		return nil, problemf("match fewer", "a route matches more than %d headers", maxHeaders)
	}
	headers := make(map[string]string, dict.Len())
	for key, element := range dict.Entries() {
		name, _ := starlark.AsString(key)
		canonical, err := checkHeaderName(name)
		if err != nil {
			return nil, err
		}
		value, ok := starlark.AsString(element)
		if !ok || !isPrintableASCII(value) || len(value) > maxHeaderBytes {
			return nil, problemf(`write headers={"X-Kind": "urgent"}`, "the value of header %s is not a printable string of at most %d bytes", canonical, maxHeaderBytes)
		}
		if _, duplicate := headers[canonical]; duplicate {
			return nil, problemf("remove one", "header %s is matched twice", canonical)
		}
		headers[canonical] = value
	}
	return headers, nil
}

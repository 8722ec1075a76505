package snapshot

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// Limits of a document. They bound the memory that a node uses and that a delta can make it
// allocate.
const (
	// MaxNameBytes is the maximum length of the name of a resource that only policies use.
	MaxNameBytes = 63
	// MaxTypedNameBytes is the maximum length of the name of any other resource.
	MaxTypedNameBytes = 4 << 10
	// MaxProgramBytes is the maximum size of the program of one policy.
	MaxProgramBytes = 64 << 10
	// MaxSecretBytes is the maximum size of the value of one secret.
	MaxSecretBytes = 4 << 10
	// MaxResourcesPerKind is the maximum number of resources of each kind that only policies use.
	MaxResourcesPerKind = 1000
	// MaxTypedResources is the maximum number of services, of typed routes, of instances, and of tenants.
	MaxTypedResources = 20_000
	// MaxDocumentBytes is the maximum total size of the encoded resources of a document with
	// ResourceOverheadBytes for each. It leaves room for the rest of the frame that carries a whole document
	// between nodes (wire.DefaultMaxFrameBytes).
	MaxDocumentBytes = 8<<20 - 64<<10
	// ResourceOverheadBytes is what the kind and the lengths of one resource take in a frame at most.
	ResourceOverheadBytes = 16
	// MaxServiceLimit is the maximum of each numeric limit of a service, and of an instance's slots.
	MaxServiceLimit = 1_000_000
)

// maxResources returns the maximum number of resources of a kind in a document.
func maxResources(kind Kind) int {
	switch kind {
	case KindService, KindRoute, KindInstance, KindTenant:
		return MaxTypedResources
	default:
		return MaxResourcesPerKind
	}
}

// maxNameBytes returns the maximum length of the name of a resource of a kind.
func maxNameBytes(kind Kind) int {
	switch kind {
	case KindPolicy, KindSecret:
		return MaxNameBytes
	default:
		return MaxTypedNameBytes
	}
}

// checkName returns an error if name is not a valid name for a resource of the kind.
func checkName(kind Kind, name string) error {
	if name == "" {
		return eris.Errorf("a %s has no name", kind)
	}
	if limit := maxNameBytes(kind); len(name) > limit {
		return eris.Errorf("%s %.16q...: the name has %d bytes, at most %d are allowed", kind, name, len(name), limit)
	}
	switch kind {
	case KindService, KindRoute, KindTenant, KindEvacuation:
		// The source assigns these names. They are only compared, and escaped wherever they are written.
		if !utf8.ValidString(name) {
			return eris.Errorf("%s %.64q: the name is not valid UTF-8", kind, name)
		}
		return nil
	default:
		return checkIdentifier(kind, name)
	}
}

// CheckServiceNames returns an error if the name of a service is not an identifier that policies can use.
func CheckServiceNames(services []Service) error {
	for _, service := range services {
		if err := checkIdentifier(KindService, service.Name); err != nil {
			return err
		}
	}
	return nil
}

func checkIdentifier(kind Kind, name string) error {
	for i := range len(name) {
		if isNameByte(name[i], i == 0) {
			continue
		}
		return eris.Errorf("%s %q: a name consists of letters, digits, '.', '_' and '-', and starts with a letter or digit", kind, name)
	}
	return nil
}

func isNameByte(b byte, first bool) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	case b == '.', b == '_', b == '-':
		return !first
	default:
		return false
	}
}

func checkService(service Service) error {
	if err := checkName(KindService, service.Name); err != nil {
		return err
	}
	if service.Slots < 0 || service.Slots > MaxServiceLimit {
		return eris.Errorf("service %q: slots is %d, want 0 to %d", service.Name, service.Slots, MaxServiceLimit)
	}
	if service.Connections < 0 || service.Connections > MaxServiceLimit {
		return eris.Errorf("service %q: connections is %d, want 0 to %d", service.Name, service.Connections, MaxServiceLimit)
	}
	if !(service.ColdRate >= 0 && service.ColdRate <= MaxServiceLimit) {
		return eris.Errorf("service %q: cold_rate is %v, want 0 to %d", service.Name, service.ColdRate, MaxServiceLimit)
	}
	if service.ColdMillis < 0 || service.ColdMillis > MaxServiceLimit {
		return eris.Errorf("service %q: cold_ms is %d, want 0 to %d", service.Name, service.ColdMillis, MaxServiceLimit)
	}
	if service.HealthPath != "" && !IsHealthPath(service.HealthPath) {
		return eris.Errorf("service %q: health_path %q is not an absolute path of printable ASCII characters, at most %d bytes long", service.Name, service.HealthPath, MaxHealthPathBytes)
	}
	return nil
}

// MaxHealthPathBytes is the maximum length of the path of a health check.
const MaxHealthPathBytes = 256

// IsHealthPath reports whether a health check can be sent to the path.
func IsHealthPath(path string) bool {
	return len(path) <= MaxHealthPathBytes && strings.HasPrefix(path, "/") &&
		!strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r >= unicode.MaxASCII })
}

func checkPolicy(policy Policy) error {
	if err := checkName(KindPolicy, policy.Name); err != nil {
		return err
	}
	if len(policy.Program) > MaxProgramBytes {
		return eris.Errorf("policy %q: the program has %d bytes, at most %d are allowed; split it", policy.Name, len(policy.Program), MaxProgramBytes)
	}
	if !utf8.ValidString(policy.Program) {
		return eris.Errorf("policy %q: the program is not valid UTF-8", policy.Name)
	}
	return nil
}

// checkSecret validates a secret. Its errors never contain the value.
func checkSecret(secret Secret) error {
	if err := checkName(KindSecret, secret.Name); err != nil {
		return err
	}
	if secret.Value == "" {
		return eris.Errorf("secret %q: the value is empty", secret.Name)
	}
	if len(secret.Value) > MaxSecretBytes {
		return eris.Errorf("secret %q: the value has %d bytes, at most %d are allowed", secret.Name, len(secret.Value), MaxSecretBytes)
	}
	if !utf8.ValidString(secret.Value) {
		return eris.Errorf("secret %q: the value is not valid UTF-8", secret.Name)
	}
	if strings.TrimSpace(secret.Value) != secret.Value {
		return eris.Errorf("secret %q: the value begins or ends with white space", secret.Name)
	}
	if strings.ContainsFunc(secret.Value, isControl) {
		return eris.Errorf("secret %q: the value contains a control character and cannot be sent in a header", secret.Name)
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

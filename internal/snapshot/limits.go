package snapshot

import (
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// The limits of a document. They bound what a node holds and what a delta may
// make it allocate.
const (
	// MaxNameBytes bounds the name of a service, policy or secret.
	MaxNameBytes = 63
	// MaxProgramBytes bounds the text of one policy.
	MaxProgramBytes = 64 << 10
	// MaxSecretBytes bounds the value of one secret.
	MaxSecretBytes = 4 << 10
	// MaxResourcesPerKind bounds the services, the policies and the secrets.
	MaxResourcesPerKind = 1000
	// MaxTypedResources bounds the typed routes, and the instances.
	MaxTypedResources = 20_000
	// MaxDocumentBytes bounds the encoded resources of a document in all.
	MaxDocumentBytes = 8 << 20
	// MaxServiceLimit bounds the slots and the connections of a service.
	MaxServiceLimit = 1_000_000
)

// maxResources returns how many resources of a kind a document may hold.
func maxResources(kind Kind) int {
	switch kind {
	case KindRoute, KindInstance:
		return MaxTypedResources
	default:
		return MaxResourcesPerKind
	}
}

// checkName reports why name cannot name a resource of that kind, or nil.
func checkName(kind Kind, name string) error {
	if name == "" {
		return eris.Errorf("a %s has no name", kind)
	}
	if len(name) > MaxNameBytes {
		return eris.Errorf("%s %.16q...: the name has %d bytes, at most %d are allowed", kind, name, len(name), MaxNameBytes)
	}
	for i := range len(name) {
		if isNameByte(name[i], i == 0) {
			continue
		}
		return eris.Errorf("%s %q: a name has letters, digits, '.', '_' and '-', and starts with a letter or digit", kind, name)
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
	return nil
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

// checkSecret never puts the value in its error.
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
		return eris.Errorf("secret %q: the value holds a control character and cannot be sent in a header", secret.Name)
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

package suspects

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFingerprint checks that a fingerprint depends on method, host, target and body, and on where
// each of them ends.
func TestFingerprint(t *testing.T) {
	c := qt.New(t)
	base := NewFingerprint("GET", "h", "/a?x", []byte("body"))
	c.Check(NewFingerprint("GET", "h", "/a?x", []byte("body")), qt.Equals, base)
	c.Check(base.String(), qt.HasLen, 2*FingerprintBytes)
	parsed, err := ParseFingerprint(base.String())
	c.Assert(err, qt.IsNil)
	c.Check(parsed, qt.Equals, base)
	for _, text := range []string{"", "zz", base.String()[2:], base.String() + "00"} {
		_, err := ParseFingerprint(text)
		c.Check(err, qt.IsNotNil)
	}
	for name, other := range map[string]Fingerprint{
		"method": NewFingerprint("PUT", "h", "/a?x", []byte("body")),
		"host":   NewFingerprint("GET", "g", "/a?x", []byte("body")),
		"query":  NewFingerprint("GET", "h", "/a?y", []byte("body")),
		"body":   NewFingerprint("GET", "h", "/a?x", []byte("bodz")),
		"border": NewFingerprint("GET", "h/", "a?x", []byte("body")),
		"ending": NewFingerprint("GET", "h", "/a?xb", []byte("ody")),
	} {
		c.Check(other, qt.Not(qt.Equals), base, qt.Commentf(name))
	}
}

package tenancy_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/tenancy"
)

// FuzzAuthenticate checks that no value of the header but the key itself, in its scheme, authenticates
// a caller, and that no reason of a refusal shows a part of the value.
func FuzzAuthenticate(f *testing.F) {
	for _, value := range []string{"Bearer " + key, "bearer  " + key, key, "Bearer", "Bearer \t" + key, "Basic " + key, "Bearer " + key + "\x00"} {
		f.Add(value)
	}
	c := qt.New(f)
	current := snapshotWith(c, snapshot.Tenant{Name: "a", KeyDigests: []snapshot.KeyDigest{snapshot.DigestKey(key)}})
	f.Fuzz(func(t *testing.T, value string) {
		identity, refusal := tenancy.Authenticate(current, &snapshot.Route{AllowAnonymous: true}, http.Header{tenancy.HeaderAuthorization: {value}})
		scheme, sent, _ := strings.Cut(value, " ")
		valid := strings.EqualFold(scheme, "bearer") && strings.Trim(sent, " ") == key
		if (refusal == "") != valid || identity.IsAnonymous() == valid {
			t.Fatalf("%q: refused: %q, tenant: %q", value, refusal, identity.Name())
		}
	})
}

package cli

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/admin"
)

// TestTenantsTable checks the text that the command prints: what has no limit, and what is not used, is
// shown as such.
func TestTenantsTable(t *testing.T) {
	priority := 2
	answer := tenantsAnswer{admin.TenantList{Tenants: []admin.Tenant{
		{Name: "a", Keys: 1},
		{Name: "b", Keys: 2, RequestsPerSecond: 5, Burst: 7.5, Priority: &priority, AllowedRegions: []string{"north", "south"}, Used: &admin.TenantRates{
			AdmittedPerSecond: 4, RefusedPerSecond: 0.25, DecidedBy: "backup", DecidedAgo: admin.Duration(1500 * time.Millisecond),
		}},
	}}}
	var out bytes.Buffer
	answer.write(&out)
	qt.Check(t, out.String(), qt.Equals, ""+
		"TENANT  KEYS  QUOTA/S  BURST  PRIORITY  REGIONS      ADMITTED/S  REFUSED/S  DECIDED BY  AGO\n"+
		"a       1     -        -      -         -            -           -          -           -\n"+
		"b       2     5.0      7.5    2         north,south  4.0         0.2        backup      1.5s\n")
}

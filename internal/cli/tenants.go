package cli

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/admin"
)

const tenantsHelp = `Lists the tenants that a node has in force, and for the requests that start at that node how many a second were within their quota and beyond it, and which node decided last. Keys are not shown. Exit codes: 0 done, 3 the node gave no answer.`

type tenantsCommand struct {
	environment
	adminFlags
	outputFlags
}

// tenantsAnswer is the output of tenants.
type tenantsAnswer struct{ admin.TenantList }

// Execute prints the tenants.
func (c *tenantsCommand) Execute([]string) error {
	list, err := admin.NewClient(c.Admin).Tenants(c.ctx)
	if err != nil {
		return err
	}
	answer := tenantsAnswer{list}
	return c.print(c.stdout, answer, answer.write)
}

func (a tenantsAnswer) write(out io.Writer) {
	lines := newTable(out, "TENANT", "KEYS", "QUOTA/S", "BURST", "PRIORITY", "REGIONS", "ADMITTED/S", "REFUSED/S", "DECIDED BY", "AGO")
	for _, tenant := range a.Tenants {
		quota, burst, priority := "", "", ""
		if tenant.RequestsPerSecond > 0 {
			quota, burst = formatRate(tenant.RequestsPerSecond), formatRate(tenant.Burst)
		}
		if tenant.Priority != nil {
			priority = strconv.Itoa(*tenant.Priority)
		}
		cells := []string{tenant.Name, strconv.Itoa(tenant.Keys), quota, burst, priority, strings.Join(tenant.AllowedRegions, ",")}
		lines.row(append(cells, usedCells(tenant.Used)...)...)
	}
	lines.flush()
}

func usedCells(used *admin.TenantRates) []string {
	if used == nil {
		return []string{"", "", "", ""}
	}
	return []string{
		formatRate(used.AdmittedPerSecond), formatRate(used.RefusedPerSecond), used.DecidedBy, time.Duration(used.DecidedAgo).String(),
	}
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'f', 1, 64) }

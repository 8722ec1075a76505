package inbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// beginParent records that the instance runs a request from now on, whose calls may get its priority. It
// returns nil where that is of no use.
func (p *Proxy) beginParent(request *message.Request, order hop.Order) *callpriority.Run {
	current := p.options.Snapshots.Current()
	if !p.options.Mechanisms.CallPriority || current == nil || !current.RanksRoutes() {
		return nil
	}
	route := current.Lookup(request.Method, request.Host, request.Path, request.Header)
	if route == nil {
		return nil
	}
	return p.options.Calls.Begin(route.Name, order.Priority, time.Now())
}

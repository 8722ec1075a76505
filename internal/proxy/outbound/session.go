package outbound

import (
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// switchProtocols turns the exchange into a session, which relays bytes in both
// directions until both have ended.
func (e *exchange) switchProtocols(response *http.Response, choice *balance.Choice) completion {
	instance, agreed := forward.UpgradedConn(response, e.upgrade)
	if !agreed {
		_ = response.Body.Close()
		e.finish(choice, balance.Failed, time.Now())
		return e.respondWithProblem(outcome.NewProblem(outcome.ReasonBroken, outcome.Unknown, "the back end switched to another protocol"))
	}
	defer func() { _ = instance.Close() }()
	e.becomeSession()
	e.informer.Stop()
	e.finish(choice, balance.Answered, time.Now())
	caller, err := forward.HijackUpgraded(e.writer, response)
	if err != nil {
		return callerGone
	}
	defer func() { _ = caller.Close() }()
	stop := forward.CloseOnDone(e.ctx, instance, caller)
	defer stop()
	forward.Relay(caller, instance)
	return answered
}

// Package outcome owns what the proxy tells callers and other nodes about a
// request: the header names, the typed outcome and the problem document
// (RFC 9457) of every answer that the system itself makes.
package outcome

// Headers between the nodes. The outbound proxy removes them from what callers
// send, so that no caller can forge them.
const (
	// InternalPrefix starts every header that only nodes may set.
	InternalPrefix = "Winchhead-"
	// HeaderOutcome tells "not-run" or "unknown" on each answer the system makes.
	HeaderOutcome = "Winchhead-Outcome"
	// HeaderReason carries the Reason of such an answer.
	HeaderReason = "Winchhead-Reason"
	// HeaderRemaining is the time left for the request in milliseconds.
	HeaderRemaining = "Winchhead-Remaining-Ms"
	// HeaderRoute names the route, for limits and fairness at the inbound node.
	HeaderRoute = "Winchhead-Route"
	// HeaderLoad is on answers of an inbound node: used slots over all slots,
	// as a decimal that exceeds 1 while requests are queued.
	HeaderLoad = "Winchhead-Load"
	// HeaderState is on answers of an inbound node that is not ready: its state.
	HeaderState = "Winchhead-State"
	// HeaderTarget is on requests between nodes: "node/incarnation" of the
	// instance meant, so that another process at a reused address refuses it.
	HeaderTarget = "Winchhead-Target"
)

// Headers that callers and back ends may use.
const (
	// HeaderTimeout lets a caller shorten the time of its request
	// (milliseconds), and tells a back end the time left.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderIdempotencyKey names a request, so that repeats run once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcome tells whether a failed request may have run.
type Outcome string

// The outcomes of a request that the system answers itself.
const (
	// NotRun means that nothing of the request reached a back end.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason is the machine-readable cause of an answer made by the system.
type Reason string

// The reasons, each with the status in Status.
const (
	ReasonNoConfiguration  Reason = "no-configuration"   // 503: the node holds no version yet
	ReasonNoRoute          Reason = "no-route"           // 404
	ReasonNoInstance       Reason = "no-instance"        // 503: no instance takes work
	ReasonOverloaded       Reason = "overloaded"         // 503: shed before it ran
	ReasonRouteLimit       Reason = "route-limit"        // 503
	ReasonDraining         Reason = "draining"           // 503
	ReasonDeadline         Reason = "deadline"           // 504
	ReasonConnect          Reason = "connect-failed"     // 502
	ReasonBroken           Reason = "connection-broken"  // 502: lost after sending
	ReasonBadRequest       Reason = "bad-request"        // 400
	ReasonTooLarge         Reason = "too-large"          // 413 or 431
	ReasonRepeatInProgress Reason = "repeat-in-progress" // 409: the first with this key still runs
	ReasonRepeatDone       Reason = "repeat-done"        // 409: the first with this key is done, its answer isn't kept
	ReasonRepeatConflict   Reason = "repeat-conflict"    // 422: the key came with another request
	ReasonRepeatLost       Reason = "repeat-lost"        // 409: nobody knows whether the first with this key ran
	ReasonNoQuorum         Reason = "no-quorum"          // 503: too few nodes could remember the key
	ReasonWrongInstance    Reason = "wrong-instance"     // 421: the address has another process now
)

package outbound

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// nodeConnectTimeout is well above a round trip between regions, and well below the
	// retransmission timeout of a lost SYN packet (one second).
	nodeConnectTimeout = 300 * time.Millisecond
	// nodeVerifyAfter is the time without any answer of a node after which a liveness check
	// precedes the next request. An unreachable node is then detected by the check instead of
	// by a request, of which nobody could tell whether it ran.
	nodeVerifyAfter = 300 * time.Millisecond
	// nodeVerifyIdle is how long a connection may be idle before such a check, whatever came on
	// other connections to the node: below the required 3 s for idle connections that fall
	// silent.
	nodeVerifyIdle = time.Second
	// nodeVerifyTimeout limits the wait for the answer to the check: many round trips, as
	// the machine may be busy and its link saturated.
	nodeVerifyTimeout = 250 * time.Millisecond
	// nodeSilenceLimit is how long a request that another instance could still serve may see no
	// progress: the required bound for connections in use that fall silent. Nodes report
	// progress twice within it.
	nodeSilenceLimit = time.Second
	// nodeIdleTimeout is below the time after which nodes close idle connections
	// (NodeServerIdleTimeout).
	nodeIdleTimeout = 25 * time.Second
	// NodeServerIdleTimeout is how long a node keeps an idle connection of another node open.
	NodeServerIdleTimeout = time.Minute
)

// sidecars sends requests to the sidecars of other instances.
type sidecars interface {
	// send sends a request to an instance's sidecar. While that is silent, mayGiveUp decides whether
	// the request is still awaited.
	send(ctx context.Context, request *message.Request, instance snapshot.Instance, order hop.Order, mayGiveUp func() bool) sendResult
	// requestTokens sends a request for tokens to the node with an IP address.
	requestTokens(ctx context.Context, node string, body []byte) ([]byte, error)
	// prune closes connections that were idle for too long.
	prune(now time.Time)
	close()
}

// sidecarPools keeps connections to the sidecars of other instances.
type sidecarPools struct {
	port     int
	egress   *transfer.Egress
	idHeader string
	// askFirst says that bodies are sent only after the receiving node has admitted them.
	askFirst bool
	mutex    sync.Mutex
	pools    map[string]*client.Pool
}

func newSidecarPools(options Options) *sidecarPools {
	return &sidecarPools{
		port: options.NodePort, idHeader: options.Names.RequestID, askFirst: options.Mechanisms.LinkAdmission,
		egress: options.Egress, pools: make(map[string]*client.Pool),
	}
}

// nodeAddress returns the address on which an instance's sidecar accepts requests.
func (n *sidecarPools) nodeAddress(instance snapshot.Instance) string {
	parsed, err := netip.ParseAddrPort(instance.Address)
	if err != nil {
		return "" // not reached: the snapshot validates addresses
	}
	return n.addressOn(parsed.Addr().String())
}

// addressOn returns the address of the sidecar on the machine with an IP address.
func (n *sidecarPools) addressOn(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(n.port))
}

// errNoTokens is returned if a node answers a request for tokens in another form.
var errNoTokens = errors.New("the answer grants no tokens")

func (n *sidecarPools) poolOf(address string) *client.Pool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	pool := n.pools[address]
	if pool == nil {
		pool = client.NewPool(client.Options{
			Address:          address,
			IDHeader:         n.idHeader,
			ConnectTimeout:   nodeConnectTimeout,
			IdleTimeout:      nodeIdleTimeout,
			RunsOnlyComplete: true,
			Egress:           n.egress,
			PaceHeader:       hop.HeaderPace,
			ProgressHeader:   hop.HeaderProgress,
			Dial:             client.DialRemote,
			VerifyAfter:      nodeVerifyAfter,
			VerifyIdle:       nodeVerifyIdle,
			VerifyTimeout:    nodeVerifyTimeout,
		})
		n.pools[address] = pool
	}
	return pool
}

// prune closes connections that were idle for too long or exceed what was needed lately, and removes
// the pools of nodes without connections.
func (n *sidecarPools) prune(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for address, pool := range n.pools {
		pool.Prune(now)
		pool.Trim(now)
		if pool.Open() == 0 {
			delete(n.pools, address)
		}
	}
}

func (n *sidecarPools) close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, pool := range n.pools {
		pool.Close()
	}
}

// send sends a request to an instance's sidecar. The sidecar runs nothing before it has
// the whole request, so a request that was sent in part has not run.
func (n *sidecarPools) send(ctx context.Context, request *message.Request, instance snapshot.Instance, order hop.Order, mayGiveUp func() bool) sendResult {
	header := maps.Clone(request.Header)
	order.AddTo(header)
	if n.idHeader != "" {
		header[n.idHeader] = []string{request.ID}
	}
	response, err := n.poolOf(n.nodeAddress(instance)).Do(ctx, &client.Request{
		Method: request.Method, Target: request.Target, Host: request.Host,
		Header: header, Body: request.Body, ID: request.ID,
		ExpectContinue: n.askFirst && len(request.Body) >= transfer.MinAdmissionBytes,
		Order:          bodyOrder(order),
		SilenceLimit:   silenceLimitOf(order),
		MayGiveUp:      mayGiveUp,
	})
	if err != nil {
		return failedSend(err)
	}
	headerRead := time.Now()
	report, err := hop.ReportFrom(response.Header)
	if err != nil {
		_ = response.Close()
		return sendResult{report: hop.Report{Outcome: hop.Unknown, Reason: hop.ReasonInvalid}, err: err}
	}
	hop.StripReport(response.Header)
	if report.Outcome != hop.Answered {
		response.Discard()
		return sendResult{report: report, reported: true}
	}
	result := takeAnswer(response, report)
	result.report.Link = result.report.Link.After(time.Since(headerRead))
	return result
}

// silenceLimitOf returns how long a request may see no progress. There is no limit for one that
// cannot be sent to another instance, as its answer may still be on its way.
func silenceLimitOf(order hop.Order) time.Duration {
	if !order.Repeatable || order.OnlyCandidate {
		return 0
	}
	return nodeSilenceLimit
}

func failedSend(err error) sendResult {
	var failure *client.Error
	if errors.As(err, &failure) && failure.Progress != client.SentWhole {
		return sendResult{
			report: hop.Report{Outcome: hop.Refused, Reason: hop.ReasonConnect}, err: err,
			connectTimedOut: isConnectTimeout(failure),
		}
	}
	return sendResult{report: hop.Report{Outcome: hop.Unknown, Reason: reasonOf(err)}, err: err}
}

// reasonOf tells an exchange that ended at this node from one that the other side broke off.
func reasonOf(err error) hop.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return hop.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return hop.ReasonCancelled
	default:
		return hop.ReasonBroken
	}
}

// takeAnswer buffers a short answer until it is complete and streams a longer one.
func takeAnswer(response *client.Response, report hop.Report) sendResult {
	answer := &message.Response{Status: response.Status, Header: response.Header, Length: response.Length}
	message.StripHopByHop(answer.Header)
	body, whole, err := response.Buffer()
	switch {
	case err != nil:
		_ = response.Close()
		report.Outcome, report.Reason = hop.Unknown, hop.ReasonBroken
		return sendResult{report: report, reported: true, err: err}
	case !whole:
		answer.Body, answer.Stream = body, &responseStream{response: response}
		return sendResult{report: report, answer: answer, reported: true}
	}
	_ = response.Close()
	answer.Body, answer.Length = body, int64(len(body))
	return sendResult{report: report, answer: answer, reported: true}
}

// responseStream is the rest of the body of an answer.
type responseStream struct{ response *client.Response }

// Read reads the body of the answer.
func (s *responseStream) Read(data []byte) (int, error) { return s.response.Body.Read(data) }

// Close ends the exchange with the node.
func (s *responseStream) Close() error { return s.response.Close() }

// PortOf returns the port of a listen address (IP:port), or 0 if the address is invalid.
func PortOf(address string) int {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0
	}
	return int(parsed.Port())
}

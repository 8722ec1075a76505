// Package instance emulates an application instance of the users' platform on raw
// TCP connections: it records the requests that it runs, rejects requests, and
// sends faulty responses. Only tests and benchmarks use it; product packages never
// import it.
package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Header names of the platform. HeaderStamp carries the name of the instance that responded.
const (
	HeaderID          = "Winchhead-Request-Id"
	HeaderDeadline    = "Winchhead-Deadline-Ms"
	HeaderExpect      = "Winchhead-Expect-Instance"
	HeaderCaller      = "Winchhead-Caller-Service"
	HeaderNotExecuted = "Winchhead-Not-Executed"
	HeaderStamp       = "Winchhead-Server-Stamp"
	HeaderTenant      = "Winchhead-Tenant"
	HeaderLimit       = "Server-Limit"
	HeaderLeaving     = "Server-Leaving"
	HeaderLoad        = "Winchhead-Server-Load"
	HeaderInstance    = "Winchhead-Instance-Id"
	HeaderCold        = "Winchhead-Cold-Remaining-Ms"
)

// HealthPath is the path of health checks.
const HealthPath = "/health"

// Fault is a failure that the instance causes on a request.
type Fault uint8

// The faults of a request. The request has run unless stated otherwise.
const (
	// None answers properly.
	None Fault = 0
	// Lost closes the connection instead of answering.
	Lost Fault = 1
	// LostReset resets the connection instead of answering.
	LostReset Fault = 2
	// Cut closes the connection in the middle of the body.
	Cut Fault = 3
	// Unframed sends no Content-Length: the answer ends when the connection is closed.
	Unframed Fault = 4
	// UnframedReset is like Unframed, but the connection is reset instead of closed.
	UnframedReset Fault = 5
	// Extra sends a second complete answer after the first.
	Extra Fault = 6
	// Late sends an answer to another request before the correct one.
	Late Fault = 7
	// Garbage sends bytes that are not an HTTP response.
	Garbage Fault = 8
	// NoStamp omits HeaderStamp.
	NoStamp Fault = 9
	// Reject answers 503 with HeaderNotExecuted; the request does not run.
	Reject Fault = 10
	// OtherInstance answers 421; the request does not run.
	OtherInstance Fault = 11
	// Fails answers 500.
	Fails Fault = 12
	// Early answers 413 before it reads the body, and then reads the body; the request does not
	// run.
	Early Fault = 13
	// CloseAfter answers properly with "Connection: close", and closes the connection.
	CloseAfter Fault = 14
	// Hangs begins to run the request and sends nothing until the client disconnects.
	Hangs Fault = 15
	// Crashes crashes the instance after the work: it closes its connections and accepts no more
	// until Restart.
	Crashes Fault = 16
	// EarlyUnframedReset runs the request and sends a part of an answer without a Content-Length before it
	// reads the body. It does not read the body, and resets the connection.
	EarlyUnframedReset Fault = 17
	// EarlyUnframedClose is like EarlyUnframedReset, but the connection is closed instead of reset.
	EarlyUnframedClose Fault = 18
	// EarlyUnframedDrain sends all of such an answer, ends its sending direction and then reads the body.
	EarlyUnframedDrain Fault = 19
	// Raw runs the request, sends what RawAnswer returns and closes the connection.
	Raw Fault = 20
	// Endless runs the request and sends what EndlessAnswer returns until the client closes the connection.
	Endless Fault = 21
)

// Run is one request that the instance ran.
type Run struct {
	ID, Method, Target, Body, Caller, Expected string
	DeadlineMillis                             int
	// Header holds the header fields of the request.
	Header http.Header
	Began  time.Time
	// Ended is set when the work has ended.
	Ended bool
	// Cancelled is set when the connection closed before the answer.
	Cancelled bool
}

// Instance is an emulated instance. Its exported fields are set before Start.
type Instance struct {
	// Name is the instance's id, which requests name in HeaderExpect.
	Name string
	// Address is the IP:port to listen on; empty: any port of 127.0.0.1.
	Address string
	// Plan returns the fault for the request with the given id; nil: no faults.
	Plan func(id string) Fault
	// OnArrival is called for each request that arrives, before anything else; nil: not called.
	OnArrival func(id string)
	// MaxPerSecond is how many requests the instance can begin within one second, for example
	// while it is cold. With more it fails: it closes its connections and accepts no more. Zero:
	// unlimited.
	MaxPerSecond int
	// Work is called while a request runs. It should return early when gone is closed, because
	// the client has disconnected. nil: a request takes no time.
	Work func(id string, gone <-chan struct{})
	// FaultAfterWork is called after the work. A fault other than None replaces the one of Plan, for
	// example because calls that the request made have failed. nil: not called.
	FaultAfterWork func(id string) Fault
	// BodyOf returns the body of the proper answer to a request; nil: Body.
	BodyOf func(id string) string
	// EarlyDelay is how long the faults EarlyUnframed* keep the connection open after the answer.
	EarlyDelay time.Duration
	// RawAnswer returns the bytes of the answer of the fault Raw.
	RawAnswer func(id string) string
	// EndlessAnswer returns the start of the bytes of the fault Endless and the piece that follows without end.
	EndlessAnswer func(id string) (start, piece string)
	// RawHealth is sent in place of the answer to each health check; empty: a proper answer is sent. Then
	// EndlessHealth follows without end; empty: the connection is closed.
	RawHealth, EndlessHealth string
	// Load returns the figures of HeaderLoad of an answer while so many other requests run; nil: none are
	// stated.
	Load func(running int) string

	// CrashesOn reports whether a request crashes the instance, whatever Plan returns; nil: none
	// does. OnCrash is called after each crash; nil: not called.
	CrashesOn func(id string) bool
	OnCrash   func()

	listener net.Listener
	mutex    sync.Mutex
	// statement holds the header lines that every answer has.
	statement   string
	runs        []Run
	running     int
	accepted    int
	misdirected int
	overloaded  bool
	// down is set from a crash until Restart, closed by Close; crashes counts the crashes.
	down    bool
	closed  bool
	crashes int
	// healthChecks counts the health checks. While silentHealth is set they get no answer.
	healthChecks int
	silentHealth bool
	// coldSpans are the times for which the instance was or will be cold.
	coldSpans  []span
	serveGroup sync.WaitGroup
	conns      map[net.Conn]struct{}
	// stale are the connections that are reset when the next request arrives on them.
	stale map[net.Conn]struct{}
}

// Start listens, serves in the background and returns the address.
func (i *Instance) Start() (string, error) {
	address := i.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	i.listener, i.conns, i.stale = listener, make(map[net.Conn]struct{}), make(map[net.Conn]struct{})
	i.serveGroup.Go(func() { i.accept(listener) })
	return listener.Addr().String(), nil
}

// Close stops the instance for good and closes its connections.
func (i *Instance) Close() {
	i.mutex.Lock()
	i.closed = true
	i.closeNetwork()
	i.mutex.Unlock()
	i.serveGroup.Wait()
}

// SetPlan changes Plan of a running instance; nil: no faults.
func (i *Instance) SetPlan(plan func(id string) Fault) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.Plan = plan
}

func (i *Instance) faultFor(id string) Fault {
	i.mutex.Lock()
	plan := i.Plan
	i.mutex.Unlock()
	if plan == nil {
		return None
	}
	return plan(id)
}

// ForgetConnections makes all open connections stale without telling the clients: the next
// request on one of them is answered with a reset and does not run.
func (i *Instance) ForgetConnections() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for conn := range i.conns {
		i.stale[conn] = struct{}{}
	}
}

func (i *Instance) isStale(conn net.Conn) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	_, stale := i.stale[conn]
	return stale
}

// Runs returns the requests that have run or are running, in the order of their start.
func (i *Instance) Runs() []Run {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]Run(nil), i.runs...)
}

// Rejections returns the number of requests that were answered 421.
func (i *Instance) Rejections() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.misdirected
}

// Accepted returns the number of connections accepted so far.
func (i *Instance) Accepted() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.accepted
}

func (i *Instance) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		i.mutex.Lock()
		if i.down {
			_ = conn.Close()
		}
		i.accepted++
		i.conns[conn] = struct{}{}
		i.mutex.Unlock()
		i.serveGroup.Go(func() {
			i.serve(conn)
			_ = conn.Close()
			i.mutex.Lock()
			delete(i.conns, conn)
			delete(i.stale, conn)
			i.mutex.Unlock()
		})
	}
}

func (i *Instance) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if i.isStale(conn) {
			reset(conn)
			return
		}
		if !i.handle(conn, reader, request) {
			return
		}
	}
}

// handle serves one request and reports whether the connection stays open.
func (i *Instance) handle(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	if request.URL.Path == HealthPath {
		return i.answerHealth(conn)
	}
	id := request.Header.Get(HeaderID)
	if i.OnArrival != nil {
		i.OnArrival(id)
	}
	fault := i.faultFor(id)
	if i.CrashesOn != nil && i.CrashesOn(id) {
		fault = Crashes
	}
	if expected := request.Header.Get(HeaderExpect); expected != "" && expected != i.Name || fault == OtherInstance {
		_, _ = io.Copy(io.Discard, request.Body)
		i.mutex.Lock()
		i.misdirected++
		i.mutex.Unlock()
		return send(conn, "421 Misdirected Request", id, i.statementLines(), "")
	}
	switch fault {
	case Reject:
		_, _ = io.Copy(io.Discard, request.Body)
		return send(conn, "503 Service Unavailable", id, HeaderNotExecuted+": 1\r\n"+i.statementLines(), "")
	case Early:
		ok := send(conn, "413 Content Too Large", id, i.stamp(), "too long")
		_, _ = io.Copy(io.Discard, request.Body)
		return ok
	case EarlyUnframedReset, EarlyUnframedClose, EarlyUnframedDrain:
		i.end(i.begin(request, ""), false)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", HeaderID, id, i.stamp(), i.body(id))
		time.Sleep(i.EarlyDelay)
		switch tcp, ok := conn.(*net.TCPConn); {
		case fault == EarlyUnframedReset:
			reset(conn)
		case fault == EarlyUnframedDrain && ok:
			_ = tcp.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		}
		return false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	run := i.begin(request, string(body))
	cancelled := i.runWork(conn, reader, id, fault == Hangs)
	i.end(run, cancelled)
	if fault == Crashes && !cancelled {
		i.Crash()
		return false
	}
	if i.FaultAfterWork != nil && !cancelled {
		if override := i.FaultAfterWork(id); override != None {
			fault = override
		}
	}
	return !cancelled && i.respond(conn, fault, id)
}

// runWork calls Work, or hangs, and reports whether the client disconnected meanwhile.
func (i *Instance) runWork(conn net.Conn, reader *bufio.Reader, id string, hangs bool) (cancelled bool) {
	if i.Work == nil && !hangs {
		return false
	}
	gone, peeked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(peeked)
		if _, err := reader.Peek(1); err != nil && !isTimeout(err) {
			close(gone)
		}
	}()
	if hangs {
		<-gone
	} else {
		i.Work(id, gone)
	}
	_ = conn.SetReadDeadline(time.Unix(1, 0))
	<-peeked
	_ = conn.SetReadDeadline(time.Time{})
	select {
	case <-gone:
		return true
	default:
		return false
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// begin records the start of a run and returns its index in runs.
func (i *Instance) begin(request *http.Request, body string) int {
	deadline, _ := strconv.Atoi(request.Header.Get(HeaderDeadline))
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.running++
	i.runs = append(i.runs, Run{
		ID: request.Header.Get(HeaderID), Method: request.Method, Target: request.RequestURI, Body: body,
		Caller: request.Header.Get(HeaderCaller), Expected: request.Header.Get(HeaderExpect),
		DeadlineMillis: deadline, Header: request.Header.Clone(), Began: time.Now(),
	})
	i.failIfOverloaded()
	return len(i.runs) - 1
}

func (i *Instance) end(run int, cancelled bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.running--
	i.runs[run].Ended, i.runs[run].Cancelled = true, cancelled
}

// respond answers a request that has run, as the fault requires, and reports whether the
// connection stays open.
func (i *Instance) respond(conn net.Conn, fault Fault, id string) bool {
	body := i.body(id)
	switch fault {
	case Lost:
		return false
	case LostReset:
		reset(conn)
		return false
	case Cut:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", HeaderID, id, i.stamp(), len(body), body[:20])
		return false
	case Unframed, UnframedReset:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", HeaderID, id, i.stamp(), body)
		if fault == UnframedReset {
			reset(conn)
		}
		return false
	case Extra:
		return send(conn, "200 OK", id, i.stamp(), body) && send(conn, "200 OK", id, i.stamp(), "a second answer")
	case Late:
		return send(conn, "200 OK", "another-request", i.stamp(), "belongs to another") && send(conn, "200 OK", id, i.stamp(), body)
	case Garbage:
		_, _ = io.WriteString(conn, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case Raw:
		_, _ = io.WriteString(conn, i.RawAnswer(id))
		return false
	case Endless:
		start, piece := i.EndlessAnswer(id)
		sendEndless(conn, start, piece)
		return false
	case NoStamp:
		return send(conn, "200 OK", id, "", body)
	case Fails:
		return send(conn, "500 Internal Server Error", id, i.stamp(), "failed")
	case CloseAfter:
		send(conn, "200 OK", id, i.stamp()+"Connection: close\r\n", body)
		return false
	default:
		return send(conn, "200 OK", id, i.stamp(), body)
	}
}

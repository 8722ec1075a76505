// Package instance emulates an application instance of the users' platform on raw
// connections: what it runs, what it rejects, and the bytes it spoils. It stands
// in for one in tests; product packages never import it.
package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Header names of the platform.
const (
	HeaderID          = "Winchhead-Request-Id"
	HeaderDeadline    = "Winchhead-Deadline-Ms"
	HeaderExpect      = "Winchhead-Expect-Instance"
	HeaderCaller      = "Winchhead-Caller-Service"
	HeaderNotExecuted = "Winchhead-Not-Executed"
	HeaderStamp       = "Winchhead-Server-Stamp"
)

// Fault is how an instance spoils one answer.
type Fault uint8

// The faults of an answer. The request has run unless the fault says otherwise.
const (
	// None answers properly.
	None Fault = 0
	// Lost closes the connection instead of answering.
	Lost Fault = 1
	// LostReset resets it.
	LostReset Fault = 2
	// Cut ends the answer in its body.
	Cut Fault = 3
	// Unframed gives no length and ends the answer with the connection.
	Unframed Fault = 4
	// UnframedReset is Unframed, but the connection is reset in the body.
	UnframedReset Fault = 5
	// Extra sends a second whole answer behind the first.
	Extra Fault = 6
	// Late sends an answer to another request before the right one.
	Late Fault = 7
	// Garbage sends bytes that are not an answer.
	Garbage Fault = 8
	// NoStamp leaves the instance's mark out.
	NoStamp Fault = 9
	// Reject says that the request did not run.
	Reject Fault = 10
	// OtherInstance answers 421; the request did not run.
	OtherInstance Fault = 11
	// Fails answers 500.
	Fails Fault = 12
	// Early answers 413 before the body is read, and reads on.
	Early Fault = 13
	// CloseAfter answers properly and says that the connection closes.
	CloseAfter Fault = 14
	// Hangs begins the request and says nothing until the sender leaves.
	Hangs Fault = 15
	// Crashes ends the instance after the work: it drops its connections and takes no more
	// until Restart.
	Crashes Fault = 16
)

// Run is one request that the instance ran.
type Run struct {
	ID, Method, Target, Body, Caller, Expected string
	DeadlineMillis                             int
	Began                                      time.Time
	// Ended is set when the work is over.
	Ended bool
	// Cancelled is set when the connection closed before the answer.
	Cancelled bool
}

// Instance is one emulated instance. Its fields are set before Start.
type Instance struct {
	// Name is its id.
	Name string
	// Address is where it listens (IP:port); empty: any port of loopback.
	Address string
	// Plan returns the fault for a request; nil: none.
	Plan func(id string) Fault
	// Arrived is called for each request that comes, before anything else. nil: nothing.
	Arrived func(id string)
	// MostPerSecond is how many requests the instance bears in one second, as a cold one
	// does; with more it falls over: it drops its connections and takes no more. Zero: any.
	MostPerSecond int
	// Work is called while a request runs; it returns early when the channel
	// closes as the sender left. nil: no work.
	Work func(id string, gone <-chan struct{})
	// Judge is called after the work and returns the fault of the answer instead of the
	// plan's, unless it is None, as for a run whose calls failed. nil: the plan's stays.
	Judge func(id string) Fault

	// CrashesOn reports the requests that crash the instance, whatever the plan says; nil:
	// none. Crashed is called after each crash.
	CrashesOn func(id string) bool
	Crashed   func()

	listener net.Listener
	mutex    sync.Mutex
	runs     []Run
	accepted int
	rejected int
	fellOver bool
	// down is set while the instance is crashed, closed for good; crashes counts how often
	// it crashed.
	down    bool
	closed  bool
	crashes int
	serving sync.WaitGroup
	conns   map[net.Conn]struct{}
	// forgotten are connections whose next bytes meet a reset.
	forgotten map[net.Conn]struct{}
}

// Start listens and returns the address.
func (i *Instance) Start() (string, error) {
	address := i.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	i.listener, i.conns, i.forgotten = listener, make(map[net.Conn]struct{}), make(map[net.Conn]struct{})
	i.serving.Go(func() { i.accept(listener) })
	return listener.Addr().String(), nil
}

// Close ends the instance and its connections.
func (i *Instance) Close() {
	i.mutex.Lock()
	i.closed = true
	i.drop()
	i.mutex.Unlock()
	i.serving.Wait()
}

// SetPlan changes the plan of a running instance; nil: no faults.
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

// ForgetConnections drops all that are open without a word: whatever comes on them
// next meets a reset and does not run.
func (i *Instance) ForgetConnections() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for conn := range i.conns {
		i.forgotten[conn] = struct{}{}
	}
}

func (i *Instance) isForgotten(conn net.Conn) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	_, forgotten := i.forgotten[conn]
	return forgotten
}

// Runs returns what ran so far.
func (i *Instance) Runs() []Run {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]Run(nil), i.runs...)
}

// Rejections returns how many requests were meant for another instance.
func (i *Instance) Rejections() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.rejected
}

// Accepted returns how many connections came.
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
		i.serving.Go(func() {
			i.serve(conn)
			_ = conn.Close()
			i.mutex.Lock()
			delete(i.conns, conn)
			delete(i.forgotten, conn)
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
		if i.isForgotten(conn) {
			reset(conn)
			return
		}
		if !i.answer(conn, reader, request) {
			return
		}
	}
}

// answer runs one request and reports whether the connection goes on.
func (i *Instance) answer(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	id := request.Header.Get(HeaderID)
	if i.Arrived != nil {
		i.Arrived(id)
	}
	fault := i.faultFor(id)
	if i.CrashesOn != nil && i.CrashesOn(id) {
		fault = Crashes
	}
	if expected := request.Header.Get(HeaderExpect); expected != "" && expected != i.Name || fault == OtherInstance {
		_, _ = io.Copy(io.Discard, request.Body)
		i.mutex.Lock()
		i.rejected++
		i.mutex.Unlock()
		return send(conn, "421 Misdirected Request", id, "", "")
	}
	switch fault {
	case Reject:
		_, _ = io.Copy(io.Discard, request.Body)
		return send(conn, "503 Service Unavailable", id, HeaderNotExecuted+": 1\r\n", "")
	case Early:
		ok := send(conn, "413 Content Too Large", id, i.stamp(), "too long")
		_, _ = io.Copy(io.Discard, request.Body)
		return ok
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	run := i.begin(request, string(body))
	cancelled := i.work(conn, reader, id, fault == Hangs)
	i.end(run, cancelled)
	if fault == Crashes && !cancelled {
		i.Crash()
		return false
	}
	if i.Judge != nil && !cancelled {
		if judged := i.Judge(id); judged != None {
			fault = judged
		}
	}
	return !cancelled && i.spoil(conn, fault, id)
}

// work runs a request while it watches for the sender's leaving.
func (i *Instance) work(conn net.Conn, reader *bufio.Reader, id string, hangs bool) (cancelled bool) {
	if i.Work == nil && !hangs {
		return false
	}
	gone, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
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
	<-watched
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

// begin notes that a request runs from now on, and returns its place among the runs.
func (i *Instance) begin(request *http.Request, body string) int {
	deadline, _ := strconv.Atoi(request.Header.Get(HeaderDeadline))
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.runs = append(i.runs, Run{
		ID: request.Header.Get(HeaderID), Method: request.Method, Target: request.RequestURI, Body: body,
		Caller: request.Header.Get(HeaderCaller), Expected: request.Header.Get(HeaderExpect),
		DeadlineMillis: deadline, Began: time.Now(),
	})
	i.fallOver()
	return len(i.runs) - 1
}

func (i *Instance) end(run int, cancelled bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.runs[run].Ended, i.runs[run].Cancelled = true, cancelled
}

// Body is the body of the proper answer to a request.
func Body(id string) string { return "answer to " + id + " " + strings.Repeat("x", 100) }

func (i *Instance) stamp() string { return HeaderStamp + ": " + i.Name + "\r\n" }

// spoil answers a request that ran, with the fault, and reports whether the
// connection goes on.
func (i *Instance) spoil(conn net.Conn, fault Fault, id string) bool {
	body := Body(id)
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

func send(conn net.Conn, status, id, fields, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, HeaderID, id, fields, len(body), body)
	return err == nil
}

// reset makes the close of a connection a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/report"
	"github.com/winchhead/winchhead/internal/wait"
)

// Request headers that control the answer, and response headers.
const (
	// HeaderRequest is the request's number: any text that is unique within a test
	// run. The answer carries it too.
	HeaderRequest = "X-Emulator-Request"
	// HeaderWork is the duration of the work in milliseconds.
	HeaderWork = "X-Emulator-Work-Ms"
	// HeaderFault is the Fault that the request causes.
	HeaderFault = "X-Emulator-Fault"
	// HeaderStatus is the status code of the answer.
	HeaderStatus = "X-Emulator-Status"
	// HeaderAnswerBytes asks /echo for a Pattern of this size instead of the
	// request's body.
	HeaderAnswerBytes = "X-Emulator-Answer-Bytes"
	// HeaderChain lists the calls that /call has yet to make, separated by commas.
	HeaderChain = "X-Emulator-Chain"
	// HeaderInstance is a response header: the name of the instance.
	HeaderInstance = "X-Emulator-Instance"
	// HeaderChecksum is a response header: the Checksum of the whole body.
	HeaderChecksum = "X-Emulator-Checksum"
)

// job is a request that holds a slot and is recorded in the journal.
type job struct {
	backend   *Backend
	execution executionID
	fault     Fault
	ctx       context.Context
	cancel    context.CancelFunc
	released  bool
}

// begin starts a request: it takes a slot and records the start in the journal. It
// returns nil if the request has been answered instead, for example because it was
// shed.
func (b *Backend) begin(w http.ResponseWriter, r *http.Request) *job {
	b.setInstanceHeaders(w)
	if b.Behavior().Shed {
		b.answerShed(w)
		return nil
	}
	ctx, cancel, inTime := withDeadline(r)
	if !inTime {
		cancel()
		b.counters.expiredOnArrival.Add(1)
		http.Error(w, "time is over", http.StatusGatewayTimeout)
		return nil
	}
	fault := b.faultFor(r)
	if fault == FaultResetBeforeRead {
		cancel()
		reset(w)
		return nil
	}
	j := &job{backend: b, fault: fault, ctx: ctx, cancel: cancel}
	j.execution = executionID{request: r.Header.Get(HeaderRequest), key: r.Header.Get(outcome.HeaderIdempotencyKey)}
	j.start()
	return j
}

func (b *Backend) setInstanceHeaders(w http.ResponseWriter) {
	w.Header().Set(HeaderInstance, b.options.Name)
	if b.draining.Load() != 0 && !b.Behavior().HideDraining {
		w.Header().Set(report.HeaderDraining, report.HeaderValue)
	}
}

// shedRetryAfter is the Retry-After of the answer to a shed request, in seconds.
const shedRetryAfter = "1"

func (b *Backend) answerShed(w http.ResponseWriter) {
	b.counters.shed.Add(1)
	w.Header().Set(report.HeaderShed, report.HeaderValue)
	w.Header().Set("Retry-After", shedRetryAfter)
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func (b *Backend) faultFor(r *http.Request) Fault {
	if name := r.Header.Get(HeaderFault); name != "" {
		return Fault(name)
	}
	return b.faults.next()
}

// withDeadline applies the timeout in outcome.HeaderTimeout. inTime is false if the
// timeout is not a positive number.
func withDeadline(r *http.Request) (ctx context.Context, cancel context.CancelFunc, inTime bool) {
	text := r.Header.Get(outcome.HeaderTimeout)
	if text == "" {
		ctx, cancel = context.WithCancel(r.Context())
		return ctx, cancel, true
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		ctx, cancel = context.WithCancel(r.Context())
		return ctx, cancel, false
	}
	ctx, cancel = context.WithTimeout(r.Context(), Milliseconds(millis).Duration())
	return ctx, cancel, true
}

func (j *job) start() {
	b := j.backend
	inFlight := b.counters.inFlight.add(1)
	b.loads.record(inFlight)
	if b.options.Slots > 0 && inFlight > int64(b.options.Slots) {
		b.counters.slotViolations.Add(1)
	}
	if b.drainedSince(DrainTolerance) {
		b.counters.takenWhileDraining.Add(1)
	}
	b.journal.started(j.execution)
}

// releaseSlot gives the slot back. It is called before the last byte of the answer is
// sent, so that the requests in flight never exceed those that a client still waits
// for.
func (j *job) releaseSlot() {
	if j.released {
		return
	}
	j.released = true
	j.backend.loads.record(j.backend.counters.inFlight.add(-1))
}

// end releases the slot, if it is still held, and the context.
func (j *job) end() {
	j.releaseSlot()
	j.cancel()
}

// work waits for the duration of the work and reports whether it was completed. If
// not, the request has been answered or its connection closed.
func (j *job) work(w http.ResponseWriter, r *http.Request) bool {
	if j.fault == FaultStall {
		<-r.Context().Done()
		j.releaseSlot()
		j.backend.journal.cancelled(j.execution)
		panic(http.ErrAbortHandler)
	}
	if wait.For(j.ctx, j.backend.workTime(r)) != nil {
		j.recordInterrupted()
		answerFailure(w, r, "time is over", http.StatusGatewayTimeout)
		return false
	}
	return true
}

// answerFailure answers a request that failed, or closes the connection if the caller
// has gone.
func answerFailure(w http.ResponseWriter, r *http.Request, problem string, status int) {
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, problem, status)
}

// readBody returns the whole body of the request, or aborts the request if that fails.
func (j *job) readBody(r *http.Request) []byte {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		j.abort()
	}
	return body
}

// abort ends a request that cannot continue and closes its connection.
func (j *job) abort() {
	j.recordInterrupted()
	panic(http.ErrAbortHandler)
}

// recordInterrupted records in the journal why the work ended early. It releases the
// slot first, so that a request that the journal shows as ended is never counted in
// flight.
func (j *job) recordInterrupted() {
	j.releaseSlot()
	if context.Cause(j.ctx) == context.DeadlineExceeded {
		j.backend.journal.expired(j.execution)
		return
	}
	j.backend.journal.cancelled(j.execution)
}

func (b *Backend) workTime(r *http.Request) time.Duration {
	duration := b.Behavior().WorkTime.Duration()
	if millis, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64); err == nil && millis >= 0 {
		duration = time.Duration(millis * float64(time.Millisecond))
	}
	if b.isCold() && b.options.ColdFactor > 1 {
		duration = time.Duration(float64(duration) * b.options.ColdFactor)
	}
	return duration
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if counted, ok := conn.(*countedConn); ok {
		counted.reset()
		return
	}
	_ = conn.Close()
}

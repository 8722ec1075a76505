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

// Headers of a request that steer one answer, and headers of an answer.
const (
	// HeaderRequest is the request's number: any text, unique in a run. It is
	// given back on the answer.
	HeaderRequest = "X-Emulator-Request"
	// HeaderWork is the time of the work in milliseconds.
	HeaderWork = "X-Emulator-Work-Ms"
	// HeaderFault is the Fault to cause.
	HeaderFault = "X-Emulator-Fault"
	// HeaderStatus is the status of the answer of /echo.
	HeaderStatus = "X-Emulator-Status"
	// HeaderAnswerBytes asks /echo for a body of Pattern bytes instead of the
	// request's own.
	HeaderAnswerBytes = "X-Emulator-Answer-Bytes"
	// HeaderChain lists the calls onward still to make, for /call.
	HeaderChain = "X-Emulator-Chain"
	// HeaderInstance is on answers: the name of the instance.
	HeaderInstance = "X-Emulator-Instance"
	// HeaderChecksum is on answers: Checksum of the whole body.
	HeaderChecksum = "X-Emulator-Checksum"
)

// job is one request that holds a slot and is in the journal.
type job struct {
	backend  *Backend
	run      execution
	fault    Fault
	ctx      context.Context
	cancel   context.CancelFunc
	released bool
}

// begin sheds the request or starts it: it takes a slot and enters the journal.
// It returns nil when it has answered.
func (b *Backend) begin(w http.ResponseWriter, r *http.Request) *job {
	b.announce(w)
	if b.Behavior().Shed {
		b.shed(w)
		return nil
	}
	ctx, cancel, inTime := withDeadline(r)
	if !inTime {
		cancel()
		b.counters.expiredOnArrival.Add(1)
		http.Error(w, "time is over", http.StatusGatewayTimeout)
		return nil
	}
	fault := b.faultOf(r)
	if fault == FaultResetBeforeRead {
		cancel()
		reset(w)
		return nil
	}
	j := &job{backend: b, fault: fault, ctx: ctx, cancel: cancel}
	j.run = execution{request: r.Header.Get(HeaderRequest), key: r.Header.Get(outcome.HeaderIdempotencyKey)}
	j.take()
	return j
}

func (b *Backend) announce(w http.ResponseWriter) {
	w.Header().Set(HeaderInstance, b.options.Name)
	if b.draining.Load() != 0 && !b.Behavior().HideDraining {
		w.Header().Set(report.HeaderDraining, report.HeaderValue)
	}
}

// shedRetryAfter is what a shed answer gives as Retry-After, in seconds.
const shedRetryAfter = "1"

func (b *Backend) shed(w http.ResponseWriter) {
	b.counters.shed.Add(1)
	w.Header().Set(report.HeaderShed, report.HeaderValue)
	w.Header().Set("Retry-After", shedRetryAfter)
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func (b *Backend) faultOf(r *http.Request) Fault {
	if named := r.Header.Get(HeaderFault); named != "" {
		return Fault(named)
	}
	return b.faults.take()
}

// withDeadline applies outcome.HeaderTimeout; inTime is false when it is not
// positive.
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

func (j *job) take() {
	b := j.backend
	inFlight := b.counters.inFlight.add(1)
	b.loads.record(inFlight)
	if b.options.Slots > 0 && inFlight > int64(b.options.Slots) {
		b.counters.slotViolations.Add(1)
	}
	if b.drainedSince(DrainTolerance) {
		b.counters.takenWhileDraining.Add(1)
	}
	b.journal.started(j.run)
}

// release gives the slot back. It is called before the last byte of the answer
// is sent, so that a client that counts answers never counts fewer in flight.
func (j *job) release() {
	if j.released {
		return
	}
	j.released = true
	j.backend.loads.record(j.backend.counters.inFlight.add(-1))
}

// end releases what is still held.
func (j *job) end() {
	j.release()
	j.cancel()
}

// work lasts as long as the request asks and reports whether it was done. If not,
// it has ended the answer.
func (j *job) work(w http.ResponseWriter, r *http.Request) bool {
	if j.fault == FaultStall {
		<-r.Context().Done()
		j.release()
		j.backend.journal.cancelled(j.run)
		panic(http.ErrAbortHandler)
	}
	if wait.For(j.ctx, j.backend.workTime(r)) != nil {
		j.stopped()
		giveUp(w, r, "time is over", http.StatusGatewayTimeout)
		return false
	}
	return true
}

// giveUp ends the answer to a request that failed, without one when the caller
// went away.
func giveUp(w http.ResponseWriter, r *http.Request, problem string, status int) {
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, problem, status)
}

// readBody returns the whole body of the request, or breaks off.
func (j *job) readBody(r *http.Request) []byte {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		j.breakOff()
	}
	return body
}

// breakOff ends a request that cannot go on and cuts its answer.
func (j *job) breakOff() {
	j.stopped()
	panic(http.ErrAbortHandler)
}

// stopped enters in the journal why the work ended early. The slot is given back
// before, so that who reads the journal never counts the request in flight.
func (j *job) stopped() {
	j.release()
	if context.Cause(j.ctx) == context.DeadlineExceeded {
		j.backend.journal.expired(j.run)
		return
	}
	j.backend.journal.cancelled(j.run)
}

func (b *Backend) workTime(r *http.Request) time.Duration {
	span := b.Behavior().WorkTime.Duration()
	if millis, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64); err == nil && millis >= 0 {
		span = time.Duration(millis * float64(time.Millisecond))
	}
	if b.cold() && b.options.ColdFactor > 1 {
		span = time.Duration(float64(span) * b.options.ColdFactor)
	}
	return span
}

// reset resets the connection under an answer that has not ended.
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

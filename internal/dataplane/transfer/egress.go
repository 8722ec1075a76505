package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxChunkInterval limits the time between two chunks of a body, whatever pace is given.
const maxChunkInterval = time.Second

// maxUnsentBytes lets the kernel hold two chunks that are not sent yet.
const maxUnsentBytes = 2 * chunkBytes

// Egress schedules what a node sends over the link of its machine: large bodies are sent in chunks,
// one at a time and within the link's rate, and small messages pass them. It is safe for concurrent
// use. A nil Egress paces nothing.
type Egress struct {
	mutex    sync.Mutex
	schedule *schedule
	// timer fires when the link is free for the next chunk.
	timer    *time.Timer
	expected int64
	stats    EgressStats
}

// EgressStats are totals since the start, and the number of bodies that are being sent.
type EgressStats struct {
	// Bodies and Bytes count the large bodies that were written completely.
	Bodies, Bytes int64
	// DroppedBodies and DroppedBytes count those of broken connections, with the bytes that were not
	// written.
	DroppedBodies, DroppedBytes int64
	// SmallBytes counts the bytes of messages that were written immediately.
	SmallBytes int64
	// Waited is the total time that bodies waited for their chunks.
	Waited time.Duration
	// Sending is the number of large bodies that are being sent.
	Sending int
}

// NewEgress returns an Egress for a link of the given capacity in bytes per second, or nil if the
// capacity is not known.
func NewEgress(bytesPerSecond float64) *Egress {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Egress{schedule: newSchedule(bodyShare * bytesPerSecond)}
}

// Rate returns the rate that bodies may use, in bytes per second; zero: not known.
func (e *Egress) Rate() float64 {
	if e == nil {
		return 0
	}
	return e.schedule.rate
}

// Owed returns the time that the link needs for the queued and the expected bytes.
func (e *Egress) Owed() time.Duration {
	if e == nil {
		return 0
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	bytes := e.schedule.owed(now) + e.expected
	granted := max(e.schedule.free.Sub(now), 0)
	return granted + time.Duration(float64(bytes)/e.schedule.rate*float64(time.Second))
}

// Expect adds the expected size of a response to what is owed, until done is called.
func (e *Egress) Expect(bytes int64) (done func()) {
	if e == nil || bytes <= 0 {
		return func() {}
	}
	add := func(bytes int64) {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.expected += bytes
	}
	add(bytes)
	return sync.OnceFunc(func() { add(-bytes) })
}

// Stats returns the totals so far.
func (e *Egress) Stats() EgressStats {
	if e == nil {
		return EgressStats{}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	stats := e.stats
	stats.Sending = len(e.schedule.bodies)
	return stats
}

// Charge accounts for a message that is written immediately.
func (e *Egress) Charge(bytes int) {
	if e == nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.schedule.charge(bytes, time.Now())
	e.stats.SmallBytes += int64(bytes)
}

// Write writes a body in the order of the schedule. A small body is written immediately.
func (e *Egress) Write(to io.Writer, data []byte, order Order) error {
	return e.WriteContext(context.Background(), to, data, order)
}

// WriteContext is like Write and drops the rest of the body when the context ends.
func (e *Egress) WriteContext(ctx context.Context, to io.Writer, data []byte, order Order) error {
	if len(data) >= MinQueuedBytes {
		return e.WriteScheduled(ctx, to, data, order)
	}
	if err := context.Cause(ctx); err != nil {
		return eris.Wrap(err, "the body is not sent")
	}
	e.Charge(len(data))
	_, err := to.Write(data)
	return err
}

// WriteScheduled is like WriteContext, but schedules a body of any size: one that is part of a
// larger one.
func (e *Egress) WriteScheduled(ctx context.Context, to io.Writer, data []byte, order Order) error {
	if e == nil {
		return writePaced(ctx, to, data, order.Pace)
	}
	added := e.add(len(data), order)
	defer e.remove(added)
	for written := 0; written < len(data); {
		bytes, err := e.awaitTurn(ctx, added, len(data)-written)
		if err != nil {
			return err
		}
		if _, err := to.Write(data[written : written+bytes]); err != nil {
			return err
		}
		written += bytes
		e.recordWritten(added, written == len(data))
	}
	return nil
}

func (e *Egress) add(bytes int, order Order) *body {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	added := e.schedule.add(bytes, order, now)
	e.grant(now)
	return added
}

// remove removes a body and counts it as dropped, unless it was written completely.
func (e *Egress) remove(removed *body) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.schedule.remove(removed, now)
	e.stats.Bytes += int64(removed.written)
	if removed.written == removed.total {
		e.stats.Bodies++
		return
	}
	e.stats.DroppedBodies++
	e.stats.DroppedBytes += int64(removed.total - removed.written)
	e.grant(now)
}

// awaitTurn waits until a body may write its next chunk, and returns the chunk's size.
func (e *Egress) awaitTurn(ctx context.Context, waiting *body, left int) (bytes int, err error) {
	began := time.Now()
	select {
	case <-waiting.turn:
	case <-ctx.Done():
		return 0, eris.Wrap(context.Cause(ctx), "the rest of the body is dropped")
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stats.Waited += time.Since(began)
	return left - waiting.remaining, nil
}

// recordWritten records that a body has written its chunk.
func (e *Egress) recordWritten(writer *body, whole bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writer.written = writer.total - writer.remaining
	if whole {
		return
	}
	now := time.Now()
	e.schedule.request(writer, now)
	e.grant(now)
}

// grant lets the next body write its chunk, if the link is free, and otherwise sets the timer.
func (e *Egress) grant(now time.Time) {
	for {
		granted, _, again := e.schedule.next(now)
		if granted != nil {
			granted.turn <- struct{}{}
			continue
		}
		if again.IsZero() {
			return
		}
		e.setTimer(again.Sub(now))
		return
	}
}

func (e *Egress) setTimer(wait time.Duration) {
	if e.timer == nil {
		e.timer = time.AfterFunc(wait, e.wake)
		return
	}
	e.timer.Reset(wait)
}

// wake grants chunks when the timer fires.
func (e *Egress) wake() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.grant(time.Now())
}

// writePaced writes a body in chunks, no faster than its pace (in bytes per second; zero means no
// limit).
func writePaced(ctx context.Context, to io.Writer, data []byte, pace int64) error {
	if pace <= 0 {
		_, err := to.Write(data)
		return err
	}
	next := time.Now()
	for len(data) > 0 {
		chunk := data[:min(chunkBytes, len(data))]
		if err := waitUntil(ctx, next); err != nil {
			return err
		}
		if _, err := to.Write(chunk); err != nil {
			return err
		}
		next = later(next, time.Now().Add(-maxLateness)).Add(min(transmissionTime(len(chunk), float64(pace)), maxChunkInterval))
		data = data[len(chunk):]
	}
	return nil
}

// waitUntil waits for a time, or until the context ends.
func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "the rest of the body is dropped")
	}
}

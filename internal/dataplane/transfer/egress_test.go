package transfer_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// stoppedReader is a connection whose reader accepts some bytes and then no more until it is closed.
type stoppedReader struct {
	accepts int
	closed  chan struct{}
}

// Write blocks once the reader accepts no more.
func (r *stoppedReader) Write(data []byte) (int, error) {
	if r.accepts -= len(data); r.accepts >= 0 {
		return len(data), nil
	}
	<-r.closed
	return 0, io.ErrClosedPipe
}

// seconds returns the time that a body needs at the rate of the egress.
func seconds(bytes int) time.Duration {
	rate := transfer.NewEgress(linkBytesPerSecond).Rate()
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// isAbout reports whether two durations differ by less than the transmission of two chunks.
func isAbout(got, want time.Duration) bool { return (got - want).Abs() <= 2*seconds(8<<10) }

// TestStoppedReaderBlocksOnlyItsBody guards against a connection whose reader stops and holds back
// the others, or counts as owed.
func TestStoppedReaderBlocksOnlyItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		egress, link := transfer.NewEgress(linkBytesPerSecond), &sharedLink{}
		stopped := &stoppedReader{accepts: 20_000, closed: make(chan struct{})}
		failed := make(chan error, 1)
		go func() { failed <- egress.Write(stopped, make([]byte, 500_000), transfer.Order{}) }()
		time.Sleep(100 * time.Millisecond) // its third chunk blocks
		began := time.Now()
		const bytes = 1_000_000
		c.Assert(egress.Write(link, make([]byte, bytes), transfer.Order{Priority: 3}), qt.IsNil)
		c.Check(isAbout(time.Since(began), seconds(bytes)), qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		c.Check(egress.Owed() <= seconds(8<<10), qt.IsTrue, qt.Commentf("%s", egress.Owed()))
		close(stopped.closed)
		c.Check(<-failed, qt.ErrorIs, io.ErrClosedPipe)
		c.Check(egress.Stats().DroppedBytes > 400_000, qt.IsTrue)
	})
}

// TestBrokenConnectionDropsItsBacklog guards against a body that is still waited for, or counts as
// owed, after its connection has ended.
func TestBrokenConnectionDropsItsBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		egress, link := transfer.NewEgress(linkBytesPerSecond), &sharedLink{}
		const bytes = 1_000_000
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() { failed <- egress.WriteContext(ctx, link, make([]byte, bytes), transfer.Order{}) }()
		time.Sleep(100 * time.Millisecond)
		c.Check(isAbout(egress.Owed(), seconds(bytes)-100*time.Millisecond), qt.IsTrue, qt.Commentf("%s", egress.Owed()))
		cancel()
		began := time.Now()
		c.Check(<-failed, qt.ErrorIs, context.Canceled)
		c.Check(time.Since(began) <= seconds(8<<10), qt.IsTrue) // the chunk that is being written
		c.Check(egress.Owed() <= seconds(8<<10), qt.IsTrue)

		broken := errors.New("broken")
		err := egress.Write(writerFunc(func([]byte) (int, error) { return 0, broken }), make([]byte, bytes), transfer.Order{})
		c.Check(err, qt.ErrorIs, broken)
		c.Check(egress.Owed() <= 2*seconds(8<<10), qt.IsTrue)
		c.Check(egress.Stats().DroppedBodies, qt.Equals, int64(2))
	})
}

// writerFunc implements io.Writer with a function.
type writerFunc func(data []byte) (int, error)

// Write calls the function.
func (w writerFunc) Write(data []byte) (int, error) { return w(data) }

// TestSmallMessagesPassBodies guards against small messages that wait behind the bodies of several
// connections.
func TestSmallMessagesPassBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		egress, link := transfer.NewEgress(linkBytesPerSecond), &sharedLink{}
		var running sync.WaitGroup
		for range 5 {
			running.Go(func() { c.Check(egress.Write(link, make([]byte, 400_000), transfer.Order{}), qt.IsNil) })
		}
		var waits []time.Duration
		for range 100 {
			time.Sleep(13 * time.Millisecond)
			began := time.Now()
			c.Check(egress.Write(link, make([]byte, 1500), transfer.Order{}), qt.IsNil)
			waits = append(waits, time.Since(began))
		}
		running.Wait()
		slices.Sort(waits)
		c.Check(waits[50] <= 5*time.Millisecond, qt.IsTrue, qt.Commentf("%s", waits[50]))
		c.Check(waits[99] <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", waits[99]))
	})
}

func TestExpectedBytesAreOwed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		egress := transfer.NewEgress(linkBytesPerSecond)
		first, second := egress.Expect(100_000), egress.Expect(50_000)
		c.Check(egress.Owed(), qt.Equals, seconds(150_000))
		first()
		first()
		c.Check(egress.Owed(), qt.Equals, seconds(50_000))
		second()
		egress.Expect(-1)()
		c.Check(egress.Owed(), qt.Equals, time.Duration(0))
	})
}

// TestOwnPace checks that a body is sent no faster than its receiver accepts it, with and without a
// known link.
func TestOwnPace(t *testing.T) {
	const bytes, pace = 400_000, 100_000
	for name, egress := range map[string]*transfer.Egress{"link known": transfer.NewEgress(linkBytesPerSecond), "link not known": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				began := time.Now()
				c.Assert(egress.Write(io.Discard, make([]byte, bytes), transfer.Order{Pace: pace}), qt.IsNil)
				c.Check((time.Since(began)-4*time.Second).Abs() <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			})
		})
	}
}

// TestUnknownLink checks that nothing is paced or owed if the capacity of the link is not known.
func TestUnknownLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		egress := transfer.NewEgress(0)
		c.Assert(egress, qt.IsNil)
		began := time.Now()
		c.Check(egress.Write(io.Discard, make([]byte, 10_000_000), transfer.Order{}), qt.IsNil)
		egress.Charge(10_000_000)
		egress.Expect(10_000_000)()
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
		c.Check(egress.Owed(), qt.Equals, time.Duration(0))
		c.Check(egress.Rate(), qt.Equals, 0.0)
		c.Check(egress.Stats(), qt.Equals, transfer.EgressStats{})
	})
}

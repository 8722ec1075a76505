package source

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// minProgressBytes is how many bytes must arrive within each stall timeout for a read to go on.
// With a stall timeout of 0.7 s this is 0.2 Mbit/s, 1/25 of the slowest known link.
const minProgressBytes = 16 << 10

var (
	errNoAnswer = eris.New("no answer before the timeout")
	errStalled  = eris.New("the answer stalled: too little data before the timeout")
)

// stallTimerKey is the context key of the stallTimer.
type stallTimerKey struct{}

// stallTimer ends a read whose answer stalls. It limits the time without progress instead of
// the total time, because a large answer on a slow link takes long and a read that is cut off
// has to start again from the beginning. With a limit of 0.7 s for the whole answer, a reader
// could never read 3 MB over a link of 10 Mbit/s.
type stallTimer struct {
	cancel       context.CancelCauseFunc
	stallTimeout time.Duration
	parent       *stallTimer

	mutex        sync.Mutex
	timer        *time.Timer
	firstTimeout time.Duration
	// started is set once something has arrived. received counts the bytes since the timer
	// was last reset.
	started  bool
	received int
}

// WithStallTimeout returns a context that ends if nothing of an answer has arrived after
// firstTimeout, or later if less than minProgressBytes arrive within stallTimeout. The
// reader of the answer reports what arrives with ReportProgress. The caller must call the returned
// function to release the context.
func WithStallTimeout(parent context.Context, firstTimeout, stallTimeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &stallTimer{cancel: cancel, firstTimeout: firstTimeout, stallTimeout: stallTimeout}
	t.parent, _ = parent.Value(stallTimerKey{}).(*stallTimer)
	t.mutex.Lock()
	t.timer = time.AfterFunc(firstTimeout, t.expire)
	t.mutex.Unlock()
	end := func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.timer.Stop()
		cancel(nil)
	}
	return context.WithValue(ctx, stallTimerKey{}, t), end
}

func (t *stallTimer) expire() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.started {
		t.cancel(errStalled)
		return
	}
	t.cancel(errNoAnswer)
}

// ReportProgress reports to the stall timers of a context, and to the function set by WithByteThreshold, that
// bytes of the answer have arrived. The header of an answer is reported with zero bytes and
// counts as progress.
func ReportProgress(ctx context.Context, bytes int) {
	if threshold, ok := ctx.Value(byteThresholdKey{}).(*byteThreshold); ok {
		threshold.addReceived(bytes)
	}
	t, _ := ctx.Value(stallTimerKey{}).(*stallTimer)
	for ; t != nil; t = t.parent {
		t.addReceived(bytes)
	}
}

func (t *stallTimer) addReceived(bytes int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.received += bytes
	if t.started && t.received < minProgressBytes {
		return
	}
	t.started, t.received = true, 0
	t.timer.Reset(t.stallTimeout)
}

// PauseStallTimeout stops the stall timers of a context while the read waits for something within this
// process. The returned function restarts them with the full firstTimeout.
func PauseStallTimeout(ctx context.Context) (resume func()) {
	innermost, _ := ctx.Value(stallTimerKey{}).(*stallTimer)
	for t := innermost; t != nil; t = t.parent {
		t.timer.Stop()
	}
	return func() {
		for t := innermost; t != nil; t = t.parent {
			t.timer.Reset(t.firstTimeout)
		}
	}
}

// progressReader reports the bytes that it reads to ReportProgress.
type progressReader struct {
	ctx  context.Context
	body io.Reader
}

// ReadWithProgress returns a reader that reports the bytes read from body to ReportProgress.
func ReadWithProgress(ctx context.Context, body io.Reader) io.Reader {
	return &progressReader{ctx: ctx, body: body}
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	count, err := r.body.Read(buffer)
	if count > 0 {
		ReportProgress(r.ctx, count)
	}
	return count, err
}

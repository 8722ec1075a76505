package source

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// leastProgress is how many bytes must come in each stall time for a read to go on. With a
// stall time of 0.7 s it is 0.2 Mbit/s, a twenty-fifth of the slowest link that is known of.
const leastProgress = 16 << 10

var (
	errNoAnswer = eris.New("no answer in time")
	errStalled  = eris.New("the answer did not go on in time")
)

// patienceKey finds the patience of a context.
type patienceKey struct{}

// patience ends a read of which nothing comes any more. It bounds silence, not the whole
// time: a large answer on a slow link takes its time, and one that is cut would have to
// start again from nothing. A reader with 0.7 s for a whole answer never got one of 3 MB
// over 10 Mbit/s.
type patience struct {
	cancel context.CancelCauseFunc
	stall  time.Duration
	parent *patience

	mutex sync.Mutex
	timer *time.Timer
	first time.Duration
	// begun is set once something came, came is what did since the timer was set.
	begun bool
	came  int
}

// WithPatience returns a context that ends when nothing of an answer has come after first,
// and later when too little comes within stall. Those who read the answer tell of what comes
// by Progress. The caller ends it with the function returned.
func WithPatience(parent context.Context, first, stall time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	p := &patience{cancel: cancel, first: first, stall: stall}
	p.parent, _ = parent.Value(patienceKey{}).(*patience)
	p.mutex.Lock()
	p.timer = time.AfterFunc(first, p.expire)
	p.mutex.Unlock()
	end := func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.timer.Stop()
		cancel(nil)
	}
	return context.WithValue(ctx, patienceKey{}, p), end
}

func (p *patience) expire() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.begun {
		p.cancel(errStalled)
		return
	}
	p.cancel(errNoAnswer)
}

// Progress tells the patience of a context, if it has one, that bytes of the answer came, and
// what was asked for by WhileLarge. The header of an answer counts as progress of its own, with
// zero bytes.
func Progress(ctx context.Context, bytes int) {
	if large, asked := ctx.Value(largeKey{}).(*largeRead); asked {
		large.progress(bytes)
	}
	p, _ := ctx.Value(patienceKey{}).(*patience)
	for ; p != nil; p = p.parent {
		p.progress(bytes)
	}
}

func (p *patience) progress(bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.came += bytes
	if p.begun && p.came < leastProgress {
		return
	}
	p.begun, p.came = true, 0
	p.timer.Reset(p.stall)
}

// Pause stops the patience of a context while the read waits for something of this process.
// The function returned lets it go on, with the whole time.
func Pause(ctx context.Context) (resume func()) {
	own, _ := ctx.Value(patienceKey{}).(*patience)
	for p := own; p != nil; p = p.parent {
		p.timer.Stop()
	}
	return func() {
		for p := own; p != nil; p = p.parent {
			p.timer.Reset(p.first)
		}
	}
}

// progressReader tells of what it reads.
type progressReader struct {
	ctx  context.Context
	body io.Reader
}

// ReadWithProgress returns a reader that tells the patience of a context what comes.
func ReadWithProgress(ctx context.Context, body io.Reader) io.Reader {
	return &progressReader{ctx: ctx, body: body}
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	count, err := r.body.Read(buffer)
	if count > 0 {
		Progress(r.ctx, count)
	}
	return count, err
}

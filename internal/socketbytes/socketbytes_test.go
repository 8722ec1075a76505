package socketbytes_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/socketbytes"
)

// shortWriter takes half of what is written and notes what was counted then.
type shortWriter struct {
	net.Conn
	counter *socketbytes.Counter
	counted int64
}

func (w *shortWriter) Write(data []byte) (int, error) {
	_, w.counted = w.counter.Totals()
	return len(data) / 2, io.ErrShortWrite
}

// An answer may arrive before Write returns, and its reader takes the count.
func TestWritesAreCountedBeforeTheyAreAnswered(t *testing.T) {
	c := qt.New(t)
	var counter socketbytes.Counter
	writer := &shortWriter{counter: &counter}
	_, err := socketbytes.Wrap(writer, &counter).Write(make([]byte, 10))
	c.Assert(err, qt.Equals, io.ErrShortWrite)
	c.Assert(writer.counted, qt.Equals, int64(10))
	_, written := counter.Take()
	c.Assert(written, qt.Equals, int64(5))
}

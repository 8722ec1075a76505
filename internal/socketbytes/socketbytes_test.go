package socketbytes_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/socketbytes"
)

// shortWriter accepts half of each write and records the count of written bytes
// at that moment.
type shortWriter struct {
	net.Conn
	counter        *socketbytes.Counter
	countedAtWrite int64
}

func (w *shortWriter) Write(data []byte) (int, error) {
	_, w.countedAtWrite = w.counter.Totals()
	return len(data) / 2, io.ErrShortWrite
}

// TestWriteCountsBeforeWriting guards against an answer that arrives before Write
// returns and finds the request not counted yet.
func TestWriteCountsBeforeWriting(t *testing.T) {
	c := qt.New(t)
	var counter socketbytes.Counter
	writer := &shortWriter{counter: &counter}
	_, err := socketbytes.Wrap(writer, &counter).Write(make([]byte, 10))
	c.Assert(err, qt.Equals, io.ErrShortWrite)
	c.Assert(writer.countedAtWrite, qt.Equals, int64(10))
	_, written := counter.Take()
	c.Assert(written, qt.Equals, int64(5))
}

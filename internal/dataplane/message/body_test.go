package message_test

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// TestReadBody guards against bodies that are taken for complete although they were cut off, and against
// errors of their readers that are lost.
func TestReadBody(t *testing.T) {
	broken := errors.New("broken")
	data := bytes.Repeat([]byte("b"), 1000)
	for name, row := range map[string]struct {
		source io.Reader
		length int64
		want   []byte
		err    error
	}{
		"known":              {bytes.NewReader(data), 1000, data, nil},
		"in small parts":     {iotest.OneByteReader(bytes.NewReader(data)), 1000, data, nil},
		"end with last part": {iotest.DataErrReader(bytes.NewReader(data)), 1000, data, nil},
		"empty":              {bytes.NewReader(nil), 0, []byte{}, nil},
		"not known":          {bytes.NewReader(data), -1, data, nil},
		"cut off":            {bytes.NewReader(data[:900]), 1000, data[:900], io.ErrUnexpectedEOF},
		"cut off at start":   {bytes.NewReader(nil), 1000, []byte{}, io.ErrUnexpectedEOF},
		"too long":           {bytes.NewReader(data), 900, data[:900], io.ErrShortBuffer},
		"broken":             {io.MultiReader(bytes.NewReader(data[:900]), iotest.ErrReader(broken)), 1000, data[:900], broken},
		"broken at the end":  {io.MultiReader(bytes.NewReader(data), iotest.ErrReader(broken)), 1000, data, broken},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			body, err := message.ReadBody(row.source, row.length)
			c.Check(err, qt.Equals, row.err)
			c.Check(body, qt.DeepEquals, row.want)
		})
	}
}

// TestReadBodyAllocatesItsSize guards against buffers that grow while a body of known length is read:
// packs of 540 KB took more than twice their size at both sidecars.
func TestReadBodyAllocatesItsSize(t *testing.T) {
	c := qt.New(t)
	const size, rounds = 540_000, 10
	data := make([]byte, size)
	allocated := func(length int64) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range rounds {
			if _, err := message.ReadBody(bytes.NewReader(data), length); err != nil {
				t.Fatal(err)
			}
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / rounds
	}
	known, unknown := allocated(size), allocated(-1)
	t.Logf("bytes allocated for a body of %d: %d with its length, %d without", size, known, unknown)
	c.Check(known < size*11/10, qt.IsTrue, qt.Commentf("%d bytes", known))
}

package outbound

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// However much an attempt reads before it fails, the next one can read the whole body
// from its start, or rewind reports that it cannot.
func TestBodyIsWholeForEachAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 1000, maxReplayBytes - 1, maxReplayBytes, maxReplayBytes + 1, 3 * maxReplayBytes}).Draw(t, "size")
		content := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		body := newReplayBody(iotest.HalfReader(bytes.NewReader(content)), 0)
		if rapid.Bool().Draw(t, "large reads") {
			body = newReplayBody(bytes.NewReader(content), 0)
		}
		most := 0
		for range rapid.IntRange(0, 3).Draw(t, "failed attempts") {
			part := rapid.IntRange(0, size).Draw(t, "part")
			reader := body.open()
			got, err := io.ReadAll(io.LimitReader(reader, int64(part)))
			if err != nil || !bytes.Equal(got, content[:part]) {
				t.Fatalf("read %d bytes of %d: %v", len(got), part, err)
			}
			most = max(most, part)
			again := body.rewind()
			if again != (most <= maxReplayBytes) {
				t.Fatalf("rewind after %d bytes returned %v", most, again)
			}
			if !again {
				return
			}
			if _, err := reader.Read(make([]byte, 1)); !errors.Is(err, errBodyDetached) {
				t.Fatalf("a read of a detached reader returned %v", err)
			}
		}
		got, err := io.ReadAll(body.open())
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("read %d bytes of %d: %v", len(got), size, err)
		}
	})
}

// gatedReader signals each read on entered and returns the next value of pieces.
type gatedReader struct {
	entered chan struct{}
	pieces  chan string
}

func (g gatedReader) Read(data []byte) (int, error) {
	g.entered <- struct{}{}
	piece, open := <-g.pieces
	if !open {
		return 0, io.EOF
	}
	return copy(data, piece), nil
}

// Data that arrives for a read of a failed attempt is passed to the next attempt.
func TestBodyKeepsLateRead(t *testing.T) {
	c := qt.New(t)
	source := gatedReader{entered: make(chan struct{}), pieces: make(chan string)}
	body := newReplayBody(source, 0)
	first := body.open()
	late := make(chan error, 1)
	go func() {
		_, err := first.Read(make([]byte, 16))
		late <- err
	}()
	<-source.entered
	c.Check(body.unread(), qt.IsTrue)
	c.Assert(body.rewind(), qt.IsTrue)
	second := body.open()
	c.Assert(first.Close(), qt.IsNil)
	read := make(chan string)
	go func() {
		got, _ := io.ReadAll(second)
		read <- string(got)
	}()
	source.pieces <- "book"
	c.Assert(<-late, qt.IsNil)
	<-source.entered
	source.pieces <- "ing"
	<-source.entered
	close(source.pieces)
	c.Check(<-read, qt.Equals, "booking")
	c.Check(body.unread(), qt.IsFalse)
}

func TestBodyLimit(t *testing.T) {
	c := qt.New(t)
	body := newReplayBody(bytes.NewReader(make([]byte, 11)), 10)
	_, err := io.ReadAll(body.open())
	c.Check(err, qt.Equals, errBodyTooLarge)
	c.Check(body.callerError(), qt.Equals, errBodyTooLarge)
}

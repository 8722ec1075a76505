package logging_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/logging"
)

// forever is longer than any test runs.
const forever = time.Hour

// TestBlockedOutputDoesNotBlockWriters checks that an output that is not read makes the
// Writer drop and count lines instead of blocking those that log.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	c := qt.New(t)
	reader, out := io.Pipe()
	writer := logging.NewWriter(out, 100)
	const lines, lineBytes = 1000, 10
	for i := range lines {
		count, err := fmt.Fprintf(writer, "line-%04d\n", i) // hangs if Write waits for the output
		c.Assert(err, qt.IsNil)
		c.Assert(count, qt.Equals, lineBytes)
	}
	closed := make(chan struct{})
	go func() {
		writer.Close(forever)
		_ = out.Close()
		close(closed)
	}()
	read, dropped := 0, 0
	for scanner := bufio.NewScanner(reader); scanner.Scan(); {
		omitted := 0
		if at := strings.Index(scanner.Text(), `"omitted":`); at >= 0 {
			_, err := fmt.Sscanf(scanner.Text()[at:], `"omitted":%d`, &omitted)
			c.Assert(err, qt.IsNil)
			dropped += omitted
			continue
		}
		read++
	}
	<-closed
	c.Check(read >= 100/lineBytes, qt.IsTrue, qt.Commentf("%d lines read", read))
	c.Check(read+dropped, qt.Equals, lines)
}

func TestWriterKeepsOrderAndFlushesOnClose(t *testing.T) {
	c := qt.New(t)
	var out, want bytes.Buffer
	writer := logging.NewWriter(&out, 0)
	for i := range 500 {
		fmt.Fprintf(&want, "line %d\n", i)
		_, _ = fmt.Fprintf(writer, "line %d\n", i)
	}
	writer.Close(forever)
	c.Check(out.String(), qt.Equals, want.String())
	_, err := writer.Write([]byte("after Close\n"))
	c.Check(err, qt.IsNil)
	writer.Close(forever)
	c.Check(out.String(), qt.Equals, want.String())
}

// TestCloseDoesNotWaitForBlockedOutput checks that a process can exit when nobody reads its
// log.
func TestCloseDoesNotWaitForBlockedOutput(t *testing.T) {
	_, out := io.Pipe()
	writer := logging.NewWriter(out, 0)
	_, _ = writer.Write([]byte("line\n"))
	writer.Close(time.Millisecond)
}

package server

import (
	"io"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// defaultProgressInterval is the interval of progress reports: two of them fit in the second
// after which a client may consider a connection dead.
const defaultProgressInterval = 400 * time.Millisecond

// progressReport is the interim response for a request in progress (RFC 2518, section 10.1).
const progressReport = "HTTP/1.1 102 Processing\r\n\r\n"

// awaitAnswer waits for the response to a request and meanwhile sends progress reports, if the
// client asked for them. Without them a client can't tell a dead connection from a request
// that takes long.
func (c *connection) awaitAnswer(next *exchange) *message.Response {
	if !next.reportsProgress {
		return <-next.answer
	}
	ticker := time.NewTicker(c.server.options.ProgressInterval)
	defer ticker.Stop()
	for {
		select {
		case answer := <-next.answer:
			return answer
		case <-ticker.C:
			c.reportProgress()
		}
	}
}

// reportProgress writes a progress report. It ignores errors: writing the response fails too.
func (c *connection) reportProgress() {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(c.conn, progressReport)
}

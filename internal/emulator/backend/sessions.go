package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/wait"
)

// UpgradeProtocol is the token of the Upgrade header for PathUpgrade.
const UpgradeProtocol = "echo"

// Defaults of the streams' query parameters.
const (
	defaultEvents        = 10
	defaultDownloadBytes = 1 << 20
	defaultChunkBytes    = 16 << 10
)

// serveEvents sends numbered server-sent events. The request releases its slot before
// the header is sent and counts as a session until it ends.
func (j *job) serveEvents(w http.ResponseWriter, r *http.Request) {
	if !j.work(w, r) {
		return
	}
	j.backend.counters.sessions.add(1)
	defer j.backend.counters.sessions.add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	j.releaseSlot()
	flusher := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = flusher.Flush()
	interval := queryMillis(r, "interval-ms")
	for number := range queryInt(r, "count", defaultEvents) {
		if wait.For(j.ctx, interval) != nil {
			j.abort()
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, Checksum([]byte(strconv.Itoa(number))))
		_ = flusher.Flush()
	}
	j.backend.journal.finished(j.execution)
}

// serveDownload streams a Pattern in chunks and holds its slot until the last one.
func (j *job) serveDownload(w http.ResponseWriter, r *http.Request) {
	if !j.work(w, r) {
		return
	}
	body := Pattern(j.execution.request, queryInt(r, "bytes", defaultDownloadBytes))
	chunkSize := max(queryInt(r, "chunk", defaultChunkBytes), 1)
	interval := queryMillis(r, "interval-ms")
	w.Header().Set(HeaderChecksum, Checksum(body))
	w.Header().Set(HeaderRequest, j.execution.request)
	for len(body) > 0 {
		chunk := body[:min(chunkSize, len(body))]
		body = body[len(chunk):]
		if !j.sendChunk(w, chunk, interval, len(body) == 0) {
			panic(http.ErrAbortHandler)
		}
	}
}

func (j *job) sendChunk(w http.ResponseWriter, chunk []byte, interval time.Duration, last bool) bool {
	if wait.For(j.ctx, interval) != nil {
		j.recordInterrupted()
		return false
	}
	if last {
		j.backend.journal.finished(j.execution)
		j.releaseSlot()
	}
	if _, err := w.Write(chunk); err != nil {
		if !last {
			j.recordInterrupted()
		}
		return false
	}
	_ = http.NewResponseController(w).Flush()
	return true
}

// requireUpgrade answers 426 to requests that do not ask for UpgradeProtocol.
func requireUpgrade(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.EqualFold(r.Header.Get("Upgrade"), UpgradeProtocol) {
			http.Error(w, "want Upgrade: "+UpgradeProtocol, http.StatusUpgradeRequired)
			return
		}
		serve(w, r)
	}
}

// serveUpgrade switches to UpgradeProtocol and echoes what it receives until either
// side ends the stream.
func (j *job) serveUpgrade(w http.ResponseWriter, r *http.Request) {
	if !j.work(w, r) {
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "this connection cannot be upgraded", http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	j.backend.counters.sessions.add(1)
	defer j.backend.counters.sessions.add(-1)
	j.releaseSlot()
	echoUntilClosed(conn, buffered)
	j.backend.journal.finished(j.execution)
}

func echoUntilClosed(conn net.Conn, buffered *bufio.ReadWriter) {
	header := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + UpgradeProtocol + "\r\n\r\n"
	if _, err := io.WriteString(conn, header); err != nil {
		return
	}
	_, _ = io.Copy(conn, buffered) // returns when either side ends the stream
}

func queryInt(r *http.Request, name string, fallback int) int {
	value, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || value < 0 {
		return fallback
	}
	return value
}

func queryMillis(r *http.Request, name string) time.Duration {
	return Milliseconds(queryInt(r, name, 0)).Duration()
}

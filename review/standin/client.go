package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, host, path string
	deadline               time.Duration
	// bytes is the size of the body, which is sent in chunks if chunked is set and else with a length.
	bytes   int64
	chunked bool
}

// answer is what a client got. err says why there is no complete answer.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
	// sentAt is when the last byte of the request was written, zero if it was not; endedAt is when the
	// answer was whole or the connection had ended.
	sentAt, endedAt time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, stamp %q, %d bytes", a.status, a.stamp, len(a.body))
}

// lastID numbers the attempts.
var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(lastID.Add(1))) }

// send sends a request to the node of a machine on a new connection and awaits the answer until the
// deadline.
func (f *fleet) send(m *machine, sent request) answer {
	if sent.id == "" {
		sent.id = newID()
	}
	f.record.printf("client of %s sends %s: %s %s%s, %d bytes", m.name, sent.id, sent.method, sent.host, sent.path, sent.bytes)
	got := exchange(m.at(m.ports.outbound), sent)
	f.record.printf("client of %s gets for %s: %s", m.name, sent.id, got)
	return got
}

const chunkBytes = 64 << 10

func exchange(address string, sent request) (got answer) {
	defer func() { got.endedAt = time.Now() }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(sent.deadline))
	written := make(chan error, 1)
	sentAt := time.Time{}
	go func() {
		err := sent.writeTo(conn)
		sentAt = time.Now()
		written <- err
	}()
	got = read(conn, sent)
	_ = conn.Close()
	if <-written == nil {
		got.sentAt = sentAt
	}
	return got
}

func read(conn net.Conn, sent request) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: sent.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get(headerStamp), body: string(body), err: err}
}

// writeTo writes the request.
func (r request) writeTo(conn net.Conn) error {
	writer := bufio.NewWriterSize(conn, chunkBytes)
	_, _ = fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, r.host, headerID, r.id, headerDeadline, r.deadline.Milliseconds())
	switch {
	case r.chunked:
		_, _ = writer.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case r.method == http.MethodPost:
		_, _ = fmt.Fprintf(writer, "Content-Length: %d\r\n\r\n", r.bytes)
	default:
		_, _ = writer.WriteString("\r\n")
	}
	chunk := make([]byte, chunkBytes)
	for i := range chunk {
		chunk[i] = 'x'
	}
	for left := r.bytes; left > 0; {
		piece := chunk[:min(left, chunkBytes)]
		left -= int64(len(piece))
		if r.chunked {
			_, _ = fmt.Fprintf(writer, "%x\r\n", len(piece))
		}
		if _, err := writer.Write(piece); err != nil {
			return err
		}
		if r.chunked {
			_, _ = writer.WriteString("\r\n")
		}
	}
	if r.chunked {
		_, _ = writer.WriteString("0\r\n\r\n")
	}
	return writer.Flush()
}

package server

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

const writeBufferBytes = 4 << 10

// writeAnswers writes the responses in the order of the requests, while there are any. After one that
// cannot be written completely, the others are dropped.
func (c *connection) writeAnswers() {
	for next := c.queue.take(); next != nil; next = c.queue.take() {
		answer := c.awaitAnswer(next)
		if !c.broken {
			c.broken = !c.writeAnswer(next, answer)
		}
		answer.Finish()
		c.held.release(next.heldBytes)
		c.finishExchange()
	}
}

// writeAnswer writes a response and reports whether further ones may follow on the connection.
func (c *connection) writeAnswer(next *exchange, answer *message.Response) bool {
	closes := c.decideClose(next, answer.Abort)
	if answer.Abort {
		c.closeNow()
		return false
	}
	c.answers.begin(answer)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	writer := takeWriter(c.destination)
	defer releaseWriter(writer)
	if err := writeMessage(writer, next, answer, closes); err != nil {
		c.closeNow()
		return false
	}
	if closes {
		c.closeGracefully()
		return false
	}
	return true
}

// lingerTime is how long the connection waits for the client's close after its write side is
// closed, as a reset could destroy the last response before the client reads it.
const lingerTime = time.Second

// closeGracefully closes the write side; the reading goroutine then closes the connection.
func (c *connection) closeGracefully() {
	type halfCloser interface{ CloseWrite() error }
	half, ok := c.conn.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		c.closeNow()
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
}

// writeMessage writes one response completely, or returns an error.
func writeMessage(writer *bufio.Writer, next *exchange, answer *message.Response, closes bool) error {
	writeStatusLine(writer, answer.Status)
	header := answer.Header
	bodyless := next.isHead || answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified
	chunked := answer.Stream != nil && answer.Length < 0 && !bodyless
	switch {
	case chunked:
		header["Transfer-Encoding"] = []string{"chunked"}
	case answer.Length >= 0 && answer.Status != http.StatusNoContent:
		header["Content-Length"] = []string{strconv.FormatInt(answer.Length, 10)}
	}
	if closes {
		message.StripListed(header) // net/http forgets the list together with "close"
		header["Connection"] = []string{"close"}
	}
	if err := header.Write(writer); err != nil {
		return err
	}
	_, _ = writer.WriteString("\r\n")
	if bodyless {
		return writer.Flush()
	}
	if err := writeBody(writer, answer, chunked); err != nil {
		return err
	}
	return writer.Flush()
}

func writeStatusLine(writer *bufio.Writer, status int) {
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	_, _ = writer.WriteString("HTTP/1.1 ")
	_, _ = writer.WriteString(strconv.Itoa(status))
	_ = writer.WriteByte(' ')
	_, _ = writer.WriteString(text)
	_, _ = writer.WriteString("\r\n")
}

func writeBody(writer *bufio.Writer, answer *message.Response, chunked bool) error {
	if answer.Stream == nil {
		_, err := writer.Write(answer.Body)
		return err
	}
	if !chunked {
		if _, err := writer.Write(answer.Body); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil { // the start of a stream is sent immediately
			return err
		}
		copied, err := io.Copy(writer, answer.Stream)
		if err == nil && copied+int64(len(answer.Body)) != answer.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return writeChunks(writer, answer)
}

// writeChunks writes each part of the stream as one chunk as soon as it arrives.
func writeChunks(writer *bufio.Writer, answer *message.Response) error {
	if err := writeChunk(writer, answer.Body); err != nil {
		return err
	}
	buffer := make([]byte, writeBufferBytes)
	for {
		count, err := answer.Stream.Read(buffer)
		if writeErr := writeChunk(writer, buffer[:count]); writeErr != nil {
			return writeErr
		}
		switch err {
		case nil:
		case io.EOF:
			_, err = writer.WriteString("0\r\n\r\n")
			return err
		default:
			return err
		}
	}
}

func writeChunk(writer *bufio.Writer, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	_, _ = writer.WriteString(strconv.FormatInt(int64(len(piece)), 16))
	_, _ = writer.WriteString("\r\n")
	_, _ = writer.Write(piece)
	_, _ = writer.WriteString("\r\n")
	return writer.Flush()
}

// Package httpmessage decides which HTTP/1.1 messages are valid, and which responses are complete. net/http accepts more
// than the protocol allows, and the next parser may read differently what is passed on.
package httpmessage

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// The status codes of valid responses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// MaxInterim limits the interim (1xx) responses before a final one. http.Transport does not limit them while a trace
// receives them.
const MaxInterim = 8

// ErrMalformed is wrapped by the errors for messages that violate the protocol.
var ErrMalformed = errors.New("malformed HTTP message")

// protocolPrefix begins each response.
const protocolPrefix = "HTTP/"

// ReadResponse reads the header of a response to a request with the method, and checks it. Bytes that no response
// begins with are not read to the end of a line.
func ReadResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	const version10 = protocolPrefix + "1.0"
	if start, err := reader.Peek(len(protocolPrefix)); err == nil && string(start) != protocolPrefix {
		return nil, eris.Wrap(ErrMalformed, "not a status line")
	}
	if start, err := reader.Peek(len(version10)); err == nil && string(start) == version10 {
		if err := checkVersion10(reader); err != nil {
			return nil, err
		}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return response, CheckResponse(response)
}

// checkVersion10 rejects the header of an HTTP/1.0 response with a transfer coding, which that version does not have
// (RFC 9112, section 6.1): http.ReadResponse ignores it and takes the chunks for the body. The header must fit
// into the buffer of the reader.
func checkVersion10(reader *bufio.Reader) error {
	for size := 1; ; size = max(size+1, reader.Buffered()) {
		head, err := reader.Peek(size)
		if errors.Is(err, bufio.ErrBufferFull) {
			return eris.Wrap(ErrMalformed, "the header of an HTTP/1.0 response is too long")
		}
		lines := bytes.Split(head, []byte("\n"))
		for _, line := range lines[:len(lines)-1] {
			name, _, _ := bytes.Cut(line, []byte(":"))
			switch {
			case bytes.EqualFold(name, []byte("Transfer-Encoding")):
				return eris.Wrap(ErrMalformed, "an HTTP/1.0 response has a transfer coding")
			case len(bytes.TrimSpace(line)) == 0:
				return nil
			}
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// CheckResponse returns an error if the header of a response that net/http has parsed violates the protocol: net/http
// accepts any three digits as the status, any version, and field names with blanks.
func CheckResponse(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return eris.Wrapf(ErrMalformed, "version %.16q", response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return eris.Wrapf(ErrMalformed, "status %d", response.StatusCode)
	}
	return CheckFields(response.Header)
}

// CheckFields returns an error if a name or a value of a header or trailer violates the protocol.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrMalformed, "field name %.32q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return eris.Wrapf(ErrMalformed, "value of the field %.32s", name)
			}
		}
	}
	return nil
}

// IsUnframed reports whether only the end of the connection marks the end of a response's body.
func IsUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.StatusCode != http.StatusSwitchingProtocols
}

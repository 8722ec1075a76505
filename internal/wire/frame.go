package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// DefaultMaxFrameBytes bounds a frame when Limits sets no other bound. It leaves
// room for a whole document of a few thousand resources.
const DefaultMaxFrameBytes = 8 << 20

const (
	// readerBufferBytes is small because a process may hold many idle links.
	readerBufferBytes = 512
	// maxLengthBytes bounds the encoded length of a frame.
	maxLengthBytes = 4
	// typeBytes is the size of the type in a frame.
	typeBytes = 1
	// directAllocationBytes is the largest body allocated on the peer's word; a
	// larger one grows as its bytes arrive.
	directAllocationBytes = 16 << 10
)

// ErrFrame is the cause of every error about a frame that breaks the protocol or
// its limits, as opposed to errors of the connection.
var ErrFrame = eris.New("malformed frame")

// Limits bounds what a peer can make a node hold.
type Limits struct {
	// MaxFrameBytes bounds type and body of a frame; zero: DefaultMaxFrameBytes.
	MaxFrameBytes int
}

// Reader reads frames from a connection. It is for one goroutine.
type Reader struct {
	source *bufio.Reader
	limits Limits
	// parts are those of a large frame that have come, isWhole is set where none may come.
	parts   []byte
	isWhole bool
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader, limits Limits) *Reader {
	reader := &Reader{source: bufio.NewReaderSize(r, readerBufferBytes)}
	reader.SetLimits(limits)
	return reader
}

// SetLimits changes the limits for the frames that follow.
func (r *Reader) SetLimits(limits Limits) {
	if limits.MaxFrameBytes <= 0 {
		limits.MaxFrameBytes = DefaultMaxFrameBytes
	}
	r.limits = limits
}

// Next returns the next message and the bytes read for it, parts of a larger one included
// that came before it. After an error the connection is of no further use. The error wraps
// ErrFrame when the peer broke the protocol.
func (r *Reader) Next() (message Message, frameBytes int, err error) {
	for {
		messageType, body, size, err := r.nextFrame()
		if err != nil {
			return nil, 0, err
		}
		frameBytes += size
		if isPart := messageType == TypePart || messageType == TypeLastPart; isPart && !r.isWhole {
			message, err = r.addPart(messageType, body)
		} else {
			message, err = r.decode(messageType, body)
		}
		if message != nil || err != nil {
			return message, frameBytes, err
		}
	}
}

// nextFrame returns the type and the body of a frame, and the size of the frame.
func (r *Reader) nextFrame() (messageType Type, body []byte, size int, err error) {
	length, lengthBytes, err := r.readLength()
	if err != nil {
		return 0, nil, 0, err
	}
	content, err := r.readContent(length)
	if err != nil {
		return 0, nil, 0, err
	}
	return Type(content[0]), content[typeBytes:], lengthBytes + length, nil
}

func (r *Reader) decode(messageType Type, body []byte) (Message, error) {
	if messageType&Compressed != 0 {
		unpacked, err := decompress(body, r.limits.MaxFrameBytes)
		if err != nil {
			return nil, err
		}
		body = unpacked
	}
	return Decode(messageType&^Compressed, body)
}

func (r *Reader) readLength() (length, lengthBytes int, err error) {
	for shift := 0; lengthBytes < maxLengthBytes; shift += 7 {
		next, err := r.source.ReadByte()
		if err != nil {
			return 0, 0, endOfFrame(err, lengthBytes > 0)
		}
		lengthBytes++
		length |= int(next&0x7f) << shift
		if next < 0x80 {
			return length, lengthBytes, r.checkLength(length)
		}
	}
	return 0, 0, eris.Wrap(ErrFrame, "length too long")
}

func (r *Reader) checkLength(length int) error {
	if length < typeBytes {
		return eris.Wrap(ErrFrame, "empty")
	}
	if length > r.limits.MaxFrameBytes {
		return eris.Wrapf(ErrFrame, "%d bytes, limit %d", length, r.limits.MaxFrameBytes)
	}
	return nil
}

func (r *Reader) readContent(length int) ([]byte, error) {
	if length <= directAllocationBytes {
		content := make([]byte, length)
		_, err := io.ReadFull(r.source, content)
		return content, endOfFrame(err, true)
	}
	content, err := io.ReadAll(io.LimitReader(r.source, int64(length)))
	if err == nil && len(content) < length {
		err = io.ErrUnexpectedEOF
	}
	return content, err
}

// endOfFrame tells a connection that ended between frames from a cut frame.
func endOfFrame(err error, inFrame bool) error {
	if inFrame && err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// appendFrame puts the length and type before a body.
func appendFrame(messageType Type, body []byte) []byte {
	frame := make([]byte, 0, maxLengthBytes+typeBytes+len(body))
	frame = binary.AppendUvarint(frame, uint64(typeBytes+len(body)))
	frame = append(frame, byte(messageType))
	return append(frame, body...)
}

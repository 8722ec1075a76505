package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// DefaultMaxFrameBytes is the limit of a frame unless Limits sets another one. It is
// large enough for a full document of a few thousand resources.
const DefaultMaxFrameBytes = 8 << 20

const (
	// readerBufferBytes is small because a process may have many idle links.
	readerBufferBytes = 512
	// maxLengthBytes limits the size of the length field of a frame.
	maxLengthBytes = 4
	// typeBytes is the size of the type field of a frame.
	typeBytes = 1
	// directAllocationBytes is the largest content allocated from the declared length
	// alone; the buffer of larger content grows as its bytes arrive.
	directAllocationBytes = 16 << 10
)

// ErrFrame is wrapped by all errors about frames that violate the protocol or its
// limits, as opposed to errors of the connection.
var ErrFrame = eris.New("malformed frame")

// Limits limits how much memory a peer can make a node use.
type Limits struct {
	// MaxFrameBytes limits the type and body of a frame; zero means DefaultMaxFrameBytes.
	MaxFrameBytes int
}

// Reader reads messages from a connection. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	limits Limits
	// parts holds the parts of a large frame received so far. reassembled is set on the reader
	// of a frame made of parts, in which no further parts may occur.
	parts       []byte
	reassembled bool
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader, limits Limits) *Reader {
	reader := &Reader{source: bufio.NewReaderSize(r, readerBufferBytes)}
	reader.SetLimits(limits)
	return reader
}

// SetLimits sets the limits of the frames read from now on.
func (r *Reader) SetLimits(limits Limits) {
	if limits.MaxFrameBytes <= 0 {
		limits.MaxFrameBytes = DefaultMaxFrameBytes
	}
	r.limits = limits
}

// Next returns the next message and the number of bytes read, which includes parts of a larger
// message that arrived before it. After an error the connection must be closed. The error
// wraps ErrFrame if the peer violated the protocol.
func (r *Reader) Next() (message Message, frameBytes int, err error) {
	for {
		messageType, body, size, err := r.nextFrame()
		if err != nil {
			return nil, 0, err
		}
		frameBytes += size
		if isPart := messageType == TypePart || messageType == TypeLastPart; isPart && !r.reassembled {
			message, err = r.addPart(messageType, body)
		} else {
			message, err = r.decode(messageType, body)
		}
		if message != nil || err != nil {
			return message, frameBytes, err
		}
	}
}

// nextFrame reads a frame and returns its type, its body and its total size.
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
		decompressed, err := decompress(body, r.limits.MaxFrameBytes)
		if err != nil {
			return nil, err
		}
		body = decompressed
	}
	return Decode(messageType&^Compressed, body)
}

func (r *Reader) readLength() (length, lengthBytes int, err error) {
	for shift := 0; lengthBytes < maxLengthBytes; shift += 7 {
		next, err := r.source.ReadByte()
		if err != nil {
			return 0, 0, truncationError(err, lengthBytes > 0)
		}
		lengthBytes++
		length |= int(next&0x7f) << shift
		if next < 0x80 {
			return length, lengthBytes, r.checkLength(length)
		}
	}
	return 0, 0, eris.Wrap(ErrFrame, "length field too long")
}

func (r *Reader) checkLength(length int) error {
	if length < typeBytes {
		return eris.Wrap(ErrFrame, "empty")
	}
	if length > r.limits.MaxFrameBytes {
		return eris.Wrapf(ErrFrame, "frame of %d bytes exceeds the limit of %d bytes", length, r.limits.MaxFrameBytes)
	}
	return nil
}

func (r *Reader) readContent(length int) ([]byte, error) {
	if length <= directAllocationBytes {
		content := make([]byte, length)
		_, err := io.ReadFull(r.source, content)
		return content, truncationError(err, true)
	}
	content, err := io.ReadAll(io.LimitReader(r.source, int64(length)))
	if err == nil && len(content) < length {
		err = io.ErrUnexpectedEOF
	}
	return content, err
}

// truncationError distinguishes a connection that ended between frames from one that ended
// within a frame: the latter gives io.ErrUnexpectedEOF.
func truncationError(err error, inFrame bool) error {
	if inFrame && err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// appendFrame returns the frame of a body, with its length and type.
func appendFrame(messageType Type, body []byte) []byte {
	frame := make([]byte, 0, maxLengthBytes+typeBytes+len(body))
	frame = binary.AppendUvarint(frame, uint64(typeBytes+len(body)))
	frame = append(frame, byte(messageType))
	return append(frame, body...)
}

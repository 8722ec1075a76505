package server

import (
	"errors"
	"io"
	"sync"
)

const (
	// DefaultBodyMemory is the default for the bytes of request bodies that a server holds at once.
	DefaultBodyMemory = 96 << 20
	// freeBodyBytes is the size up to which bodies are not counted, so that large ones do not keep them out.
	freeBodyBytes = 64 << 10
	// maxSegmentBytes is the most memory that is allocated at once for a body of unknown length.
	maxSegmentBytes = 1 << 20
)

// errNoBodyMemory is returned for a body that finds no memory.
var errNoBodyMemory = errors.New("too many bodies are held")

// bodyMemory limits the memory of request bodies. A body that is the only one may exceed the limit, as any
// size that the configuration allows has to be served.
type bodyMemory struct {
	limit int64

	mutex sync.Mutex
	used  int64
}

func newBodyMemory(limit int64) *bodyMemory {
	if limit <= 0 {
		limit = DefaultBodyMemory
	}
	return &bodyMemory{limit: limit}
}

// heldBody is the memory of one request body. A nil one holds nothing.
type heldBody struct {
	memory *bodyMemory
	bytes  int64
}

// hold returns the memory of a body of a known size, or false if there is none.
func (m *bodyMemory) hold(bytes int64) (*heldBody, bool) {
	held := &heldBody{memory: m}
	return held, held.resize(bytes)
}

// resize changes the size of the body. It returns false, and changes nothing, if there is no memory for it.
func (h *heldBody) resize(bytes int64) bool {
	if bytes <= freeBodyBytes {
		bytes = 0
	}
	m := h.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	others := m.used - h.bytes
	if bytes > h.bytes && others > 0 && others+bytes > m.limit {
		return false
	}
	m.used = others + bytes
	h.bytes = bytes
	return true
}

// release gives the memory back.
func (h *heldBody) release() {
	if h != nil {
		h.resize(0)
	}
}

// readUnsized reads a body of unknown length to its end. It holds twice the bytes read so far, as they are
// joined in the end.
func readUnsized(source io.Reader, held *heldBody) ([]byte, error) {
	var segments [][]byte
	total := 0
	for {
		size := min(max(total, freeBodyBytes/2), maxSegmentBytes)
		if !held.resize(2 * int64(total+size)) {
			return nil, errNoBodyMemory
		}
		segment := make([]byte, size)
		count, err := fill(segment, source)
		segments = append(segments, segment[:count])
		total += count
		switch {
		case err == io.EOF:
			body := join(segments, total)
			held.resize(int64(total))
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the segment is full or the source returns an error, which it passes on.
func fill(segment []byte, source io.Reader) (count int, err error) {
	for count < len(segment) && err == nil {
		var read int
		read, err = source.Read(segment[count:])
		count += read
	}
	return count, err
}

func join(segments [][]byte, total int) []byte {
	if len(segments) == 1 {
		return segments[0]
	}
	body := make([]byte, 0, total)
	for i, segment := range segments {
		body = append(body, segment...)
		segments[i] = nil
	}
	return body
}

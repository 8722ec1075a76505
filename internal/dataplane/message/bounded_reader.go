package message

import (
	"errors"
	"io"
)

// ErrTooLong is returned by a BoundedReader at its limit.
var ErrTooLong = errors.New("the peer sent more than is allowed")

// BoundedReader limits how much may be read until the limit is set again. Nothing may be read before the first limit.
type BoundedReader struct {
	// Inner is what is read.
	Inner io.Reader
	left  int64
}

// NewBoundedReader returns a BoundedReader of a reader.
func NewBoundedReader(inner io.Reader) *BoundedReader { return &BoundedReader{Inner: inner} }

// Set sets how many bytes may be read from now on.
func (r *BoundedReader) Set(bytes int64) { r.left = bytes }

// Read fails with ErrTooLong at the limit.
func (r *BoundedReader) Read(data []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	if int64(len(data)) > r.left {
		data = data[:r.left]
	}
	count, err := r.Inner.Read(data)
	r.left -= int64(count)
	return count, err
}

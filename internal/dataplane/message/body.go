package message

import "io"

// ReadBody reads a body to its end. length is the body's length, or negative if it is not known; a
// body of known length is read into memory of exactly that size. After an error the part that was
// read is returned with it; a body that ends early gives io.ErrUnexpectedEOF.
func ReadBody(source io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(source)
	}
	body := make([]byte, length)
	for count := 0; count < len(body); {
		read, err := source.Read(body[count:])
		count += read
		switch {
		case err == io.EOF && count == len(body):
			return body, nil // as readers of net/http do, which saves a call
		case err == io.EOF:
			return body[:count], io.ErrUnexpectedEOF
		case err != nil:
			return body[:count], err
		}
	}
	return body, readEnd(source)
}

// readEnd reads the end of a body of which all bytes were read, as its reader may note only then that
// the body is complete.
func readEnd(source io.Reader) error {
	var one [1]byte
	count, err := io.ReadFull(source, one[:])
	switch {
	case count > 0:
		return io.ErrShortBuffer // the body is longer than its stated length
	case err == io.EOF:
		return nil
	default:
		return err
	}
}

package server

import (
	"bufio"
	"io"
	"sync"
)

// readBuffers and writeBuffers hold the buffers that no connection uses: a connection has a read
// buffer only from the first byte of a request to the end of the last request that has arrived, and a
// write buffer only for a response.
var (
	readBuffers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

func takeReader(source io.Reader) *bufio.Reader {
	reader := readBuffers.Get().(*bufio.Reader)
	reader.Reset(source)
	return reader
}

// releaseReader gives a read buffer back, with what it still holds. reader may be nil.
func releaseReader(reader *bufio.Reader) {
	if reader != nil {
		reader.Reset(nil)
		readBuffers.Put(reader)
	}
}

func takeWriter(destination io.Writer) *bufio.Writer {
	writer := writeBuffers.Get().(*bufio.Writer)
	writer.Reset(destination)
	return writer
}

// releaseWriter gives a write buffer back and drops what it has not written.
func releaseWriter(writer *bufio.Writer) {
	writer.Reset(nil)
	writeBuffers.Put(writer)
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, and what the platform did. It
// is safe for concurrent use.
type record struct {
	began time.Time

	mutex sync.Mutex
	file  *os.File
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// printf writes one line, with the seconds since the start of the case.
func (r *record) printf(format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), line)
}

func (r *record) close() { _ = r.file.Close() }

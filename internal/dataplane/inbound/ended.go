package inbound

import (
	"sync"
	"time"
)

// endedInstances remembers for a while which instances turned out not to have the
// address under which they are listed.
type endedInstances struct {
	mutex sync.Mutex
	names map[string]time.Time // since when
}

const (
	// maxEnded bounds the names that are remembered.
	maxEnded = 1000
	// endedMemory is longer than the list names an instance that ended.
	endedMemory = 10 * time.Second
)

func (e *endedInstances) add(name string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.names == nil || len(e.names) >= maxEnded {
		e.names = make(map[string]time.Time)
	}
	e.names[name] = time.Now()
}

func (e *endedInstances) has(name string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	since, ended := e.names[name]
	return ended && time.Since(since) < endedMemory
}

package inbound

import (
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// endedInstances remembers for a while which lives of instances turned out not to have the
// address under which they are listed.
type endedInstances struct {
	mutex sync.Mutex
	lives map[snapshot.Life]time.Time // since when
}

const (
	// maxEnded bounds the lives that are remembered.
	maxEnded = 1000
	// endedMemory is longer than the list names an instance that ended.
	endedMemory = 10 * time.Second
)

func (e *endedInstances) add(life snapshot.Life) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.lives == nil || len(e.lives) >= maxEnded {
		e.lives = make(map[snapshot.Life]time.Time)
	}
	e.lives[life] = time.Now()
}

func (e *endedInstances) has(life snapshot.Life) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	since, ended := e.lives[life]
	return ended && time.Since(since) < endedMemory
}

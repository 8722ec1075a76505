package transfer

import (
	"io"
	"sync"
	"time"
)

// chunkBytes are written at once, so that a small message waits behind at most one chunk.
const chunkBytes = 8 << 10

// maxChunkInterval limits the time between two chunks, whatever pace is given.
const maxChunkInterval = time.Second

// Pacer limits the total rate at which a machine sends bodies. It is safe for concurrent
// use. A nil Pacer sets no limit.
type Pacer struct {
	rate float64 // bytes per second

	mutex sync.Mutex
	next  time.Time
}

// NewPacer returns a Pacer for a link of the given capacity in bytes per second, or nil if
// the capacity is not known.
func NewPacer(bytesPerSecond float64) *Pacer {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Pacer{rate: bodyShare * bytesPerSecond}
}

// reserve reserves link time for a chunk and returns when the chunk may be sent.
func (p *Pacer) reserve(bytes int, now time.Time) time.Time {
	if p == nil {
		return now
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(transmissionTime(bytes, p.rate))
	return at
}

func transmissionTime(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// Write writes a body in chunks, no faster than the given pace (in bytes per second; zero
// means no limit) and than the Pacer's own limit.
func (p *Pacer) Write(to io.Writer, body []byte, pace int64) error {
	if p == nil && pace <= 0 {
		_, err := to.Write(body)
		return err
	}
	next := time.Now()
	for len(body) > 0 {
		chunk := body[:min(chunkBytes, len(body))]
		at := p.reserve(len(chunk), time.Now())
		if at.Before(next) {
			at = next
		}
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		}
		if _, err := to.Write(chunk); err != nil {
			return err
		}
		if pace > 0 {
			next = at.Add(min(transmissionTime(len(chunk), float64(pace)), maxChunkInterval))
		}
		body = body[len(chunk):]
	}
	return nil
}

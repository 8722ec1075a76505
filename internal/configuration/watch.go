package configuration

import (
	"sync"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Change tells what a node holds after an adoption or a refusal.
type Change struct {
	// InForce is zero before the first version.
	InForce    snapshot.Version
	Generation uint64
	// Refusal is the refusal that stands, or nil. It must not be changed.
	Refusal *Refusal
}

// watchers hands each Change to all who subscribed.
type watchers struct {
	mutex    sync.Mutex
	channels map[chan Change]struct{}
}

// Subscribe returns a channel that gets the latest Change; one that was not read
// in time is replaced by the next. Call cancel when done: it closes the channel.
func (a *Applier) Subscribe() (changes <-chan Change, cancel func()) {
	return a.watchers.subscribe()
}

func (w *watchers) subscribe() (<-chan Change, func()) {
	channel := make(chan Change, 1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.channels == nil {
		w.channels = map[chan Change]struct{}{}
	}
	w.channels[channel] = struct{}{}
	var once sync.Once
	return channel, func() { once.Do(func() { w.unsubscribe(channel) }) }
}

func (w *watchers) unsubscribe(channel chan Change) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.channels, channel)
	close(channel)
}

// notify never blocks: it is the only sender, so that there is room after the
// unread Change was taken out.
func (w *watchers) notify(change Change) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for channel := range w.channels {
		select {
		case <-channel:
		default:
		}
		channel <- change
	}
}

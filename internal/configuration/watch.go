package configuration

import (
	"sync"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Update describes the state of a node after a document or change was applied or refused.
type Update struct {
	// InForce is the version in force; zero before the first.
	InForce    snapshot.Version
	Generation uint64
	// Refusal is the current refusal, or nil. It must not be modified.
	Refusal *Refusal
}

// watchers passes each Update to all subscribers.
type watchers struct {
	mutex    sync.Mutex
	channels map[chan Update]struct{}
}

// Subscribe returns a channel that receives the latest Update; an unread one is
// replaced by the next. cancel ends the subscription and closes the channel.
func (a *Applier) Subscribe() (updates <-chan Update, cancel func()) {
	return a.watchers.subscribe()
}

func (w *watchers) subscribe() (<-chan Update, func()) {
	channel := make(chan Update, 1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.channels == nil {
		w.channels = map[chan Update]struct{}{}
	}
	w.channels[channel] = struct{}{}
	var once sync.Once
	return channel, func() { once.Do(func() { w.unsubscribe(channel) }) }
}

func (w *watchers) unsubscribe(channel chan Update) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.channels, channel)
	close(channel)
}

// notify never blocks: it is the only sender, so that the buffer has room once the
// unread Update was taken out.
func (w *watchers) notify(update Update) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for channel := range w.channels {
		select {
		case <-channel:
		default:
		}
		channel <- update
	}
}

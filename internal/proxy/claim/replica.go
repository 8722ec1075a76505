package claim

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/wire"
)

// Stream carries messages between two nodes. One goroutine may read while another
// writes. After an error it must not be used again.
type Stream interface {
	Next() (wire.Message, error)
	Write(message wire.Message) error
	// Close closes the stream at once; it may be called more than once.
	Close() error
}

// Replica remembers keys for the nodes of the fleet. It is safe for concurrent use.
type Replica struct {
	mu    sync.Mutex
	table *table
}

// NewReplica returns an empty Replica, or an error if its metric cannot be registered.
// registerer may be nil.
func NewReplica(registerer prometheus.Registerer) (*Replica, error) {
	created := &Replica{table: newTable(maxKeys)}
	return created, registerKeys(registerer, created)
}

// Serve replies to the requests of a stream in order until the stream ends.
func (r *Replica) Serve(stream Stream) {
	defer stream.Close()
	for {
		message, err := stream.Next()
		if err != nil {
			return
		}
		request, ok := message.(*wire.ClaimRequest)
		if !ok {
			return
		}
		if stream.Write(r.handle(request)) != nil {
			return
		}
	}
}

func (r *Replica) handle(request *wire.ClaimRequest) *wire.ClaimReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.table.handle(request, time.Now())
	return &reply
}

func (r *Replica) keys() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.table.grants)
}

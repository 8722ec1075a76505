package source

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/winchhead/winchhead/internal/socketbytes"
)

// exchangeTraffic collects the byte counters of the connections that one exchange
// used. A connection carries one exchange at a time, so whatever it counted since
// the last exchange belongs to this one.
type exchangeTraffic struct {
	mutex    sync.Mutex
	counters []*socketbytes.Counter
}

func (t *exchangeTraffic) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { t.add(info.Conn) },
	})
}

func (t *exchangeTraffic) add(connection net.Conn) {
	if secure, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = secure.NetConn()
	}
	counted, ok := connection.(*socketbytes.Conn)
	if !ok {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counters = append(t.counters, counted.Counter())
}

func (t *exchangeTraffic) take() (read, written int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, counter := range t.counters {
		received, sent := counter.Take()
		read += received
		written += sent
	}
	return read, written
}

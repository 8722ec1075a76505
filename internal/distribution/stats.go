package distribution

import (
	"sync/atomic"

	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wire"
)

// messageTypeCount is one more than the highest wire.Type.
const messageTypeCount = int(wire.TypeSourceReport) + 1

// Traffic counts frames, and bytes on the socket including the overhead of TLS.
type Traffic struct {
	Frames int64 `json:"frames"`
	Bytes  int64 `json:"bytes"`
}

// Stats are the counters of a Node since its start.
type Stats struct {
	// Sent and Received hold one entry for each wire.Type that occurred. The bytes of
	// a TLS handshake are attributed to the first message after it.
	Sent     map[wire.Type]Traffic `json:"sent"`
	Received map[wire.Type]Traffic `json:"received"`
	// SourceReads counts requests to the configuration source, SourceBytes their bytes in
	// both directions. ListReads and ListBytes are the same for the member list.
	SourceReads int64 `json:"source_reads"`
	SourceBytes int64 `json:"source_bytes"`
	ListReads   int64 `json:"list_reads"`
	ListBytes   int64 `json:"list_bytes"`
	// Links is the current number of links that are up, without probes.
	Links int64 `json:"links"`
	// Adopted and Refused count the documents that the Adopter put in force or refused.
	Adopted int64 `json:"adopted"`
	Refused int64 `json:"refused"`
	// SlowPeers counts the links closed because the send queue was full.
	SlowPeers int64 `json:"slow_peers"`
	// StandIns counts how often the node began to read the source because nothing confirmed its version.
	StandIns int64 `json:"stand_ins"`
}

// LinkBytes returns the sum of the bytes sent and received on links.
func (s Stats) LinkBytes() (bytes int64) {
	for _, traffic := range s.Sent {
		bytes += traffic.Bytes
	}
	for _, traffic := range s.Received {
		bytes += traffic.Bytes
	}
	return bytes
}

type counter struct{ frames, bytes atomic.Int64 }

func (c *counter) add(bytes int64) {
	c.frames.Add(1)
	c.bytes.Add(bytes)
}

// counters holds the atomic counters from which Stats is read.
type counters struct {
	sent, received           [messageTypeCount]counter
	sourceReads, sourceBytes atomic.Int64
	listReads, listBytes     atomic.Int64
	// establishedLinks is the current number of established links; adopted and refused count
	// versions.
	establishedLinks, adopted, refused atomic.Int64
	slowPeers, standIns                atomic.Int64
}

func (c *counters) countSource(outcome source.Outcome) {
	c.sourceReads.Add(1)
	c.sourceBytes.Add(outcome.BytesRead + outcome.BytesSent)
}

func (c *counters) countList(outcome source.Outcome) {
	c.listReads.Add(1)
	c.listBytes.Add(outcome.BytesRead + outcome.BytesSent)
}

func trafficByType(from *[messageTypeCount]counter) map[wire.Type]Traffic {
	result := make(map[wire.Type]Traffic)
	for i := range from {
		if frames := from[i].frames.Load(); frames > 0 {
			result[wire.Type(i)] = Traffic{Frames: frames, Bytes: from[i].bytes.Load()}
		}
	}
	return result
}

// Stats returns the current values of the counters.
func (n *Node) Stats() Stats {
	c := &n.counters
	return Stats{
		Sent:        trafficByType(&c.sent),
		Received:    trafficByType(&c.received),
		SourceReads: c.sourceReads.Load(),
		SourceBytes: c.sourceBytes.Load(),
		ListReads:   c.listReads.Load(),
		ListBytes:   c.listBytes.Load(),
		Links:       c.establishedLinks.Load(),
		Adopted:     c.adopted.Load(),
		Refused:     c.refused.Load(),
		SlowPeers:   c.slowPeers.Load(),
		StandIns:    c.standIns.Load(),
	}
}

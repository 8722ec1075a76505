package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/winchhead/winchhead/internal/wire"
)

// kindNames name the kinds of message in reports.
var kindNames = map[wire.Type]string{
	wire.TypeHello:         "hello",
	wire.TypeHeartbeat:     "heartbeat",
	wire.TypeAnnounce:      "announce",
	wire.TypePull:          "pull",
	wire.TypeUpdate:        "update",
	wire.TypeDigest:        "digest",
	wire.TypeRecords:       "records",
	wire.TypeRecordPull:    "record-pull",
	wire.TypeRefusal:       "refusal",
	wire.TypeStatusRequest: "status-request",
	wire.TypeStatusReply:   "status-reply",
	wire.TypeGoodbye:       "goodbye",
}

func kindName(kind wire.Type) string {
	if name, known := kindNames[kind]; known {
		return name
	}
	return fmt.Sprintf("type-%d", kind)
}

// kindTotals holds the bytes that all running nodes sent, by kind of message.
type kindTotals map[string]uint64

// since returns what was sent after before, the costliest kind first.
func (k kindTotals) since(before kindTotals) []KindBytes {
	var kinds []KindBytes
	for kind, bytes := range k {
		if bytes > before[kind] {
			kinds = append(kinds, KindBytes{Kind: kind, Bytes: bytes - before[kind]})
		}
	}
	slices.SortFunc(kinds, func(a, b KindBytes) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Kind, b.Kind))
	})
	return kinds
}

// bytesByKind adds up what the running nodes have sent.
func (f *Fleet) bytesByKind() kindTotals {
	totals := make(kindTotals)
	for _, node := range f.nodes {
		if node.running == nil || node.running.node == nil {
			continue
		}
		for kind, sent := range node.running.node.Stats().Sent {
			totals[kindName(kind)] += uint64(sent.Bytes)
		}
	}
	return totals
}

package fleet

import (
	"cmp"
	"slices"
)

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
			totals[kind.String()] += uint64(sent.Bytes)
		}
	}
	return totals
}

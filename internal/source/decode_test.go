package source

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
)

// FuzzDecode checks that no body makes a decoder fail other than with an error,
// and that an accepted document keeps its version when it is encoded again.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"revision":7,"services":[{"name":"reservas","slots":20}],"policies":[{"name":"trips","program":"x"}],"secrets":[{"name":"k","value":"v"}]}`,
		`{"revision":7,"services":null,"policies":[],"secrets":[]}`,
		`{"revision":7,"services":[{"name":"a"},{"name":"a"}]}`,
		`{"revision":18446744073709551616}`,
		`{"revision":2,"hash":"abababababababababababababababab"}`,
		`{"members":[{"node":"n1","peer_address":"[::1]:7000","region":"r","zone":"z","state":"leaving"}]}`,
		`{"revision":7}{}`, `{"revision":7`, `[[[[`, `null`, `"\ud800"`, "\x00\xff", ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := qt.New(t)
		if document, err := decodeContent(body); err == nil {
			encoded, err := json.Marshal(document.Content())
			c.Assert(err, qt.IsNil)
			again, err := decodeDocument(encoded, ETag(document.Version()))
			c.Assert(err, qt.IsNil)
			c.Assert(again.Version(), qt.Equals, document.Version())
		}
		if version, err := decodeHead(body); err == nil {
			c.Assert(version.IsZero(), qt.IsFalse)
		}
		if list, err := decodeMembers(body); err == nil {
			nodes := map[membership.NodeID]bool{}
			for _, member := range list.Members {
				nodes[member.Node] = true
			}
			c.Assert(nodes, qt.HasLen, len(list.Members))
		}
	})
}

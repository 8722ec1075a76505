package wire_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// largestDocument returns a document that is as large as one may be, with resources of one size.
func largestDocument(c *qt.C, nameBytes int) *snapshot.Document {
	content := snapshot.Content{Revision: 1}
	var largest *snapshot.Document
	for step := snapshot.MaxTypedResources / 2; step > 0; step /= 2 {
		enlarged := content
		for i := range step {
			number := len(content.Services) + i
			name := fmt.Sprintf("%06d%s", number, strings.Repeat("n", nameBytes))
			enlarged.Services = append(enlarged.Services, snapshot.Service{Name: name})
			enlarged.Tenants = append(enlarged.Tenants, snapshot.Tenant{Name: name})
		}
		document, err := snapshot.NewDocument(enlarged)
		if err == nil {
			content, largest = enlarged, document
		}
	}
	c.Assert(largest, qt.IsNotNil)
	return largest
}

// TestLargestDocumentFitsIntoAFrame guards against a document that a reader accepts and that no peer can
// receive: it would be in force at the readers alone.
func TestLargestDocumentFitsIntoAFrame(t *testing.T) {
	for _, nameBytes := range []int{0, 100, 4000} {
		t.Run(fmt.Sprint(nameBytes), func(t *testing.T) {
			c := qt.New(t)
			document := largestDocument(c, nameBytes)
			frame, err := wire.Encode(wire.NewUpdate(snapshot.Diff(nil, document), true))
			c.Assert(err, qt.IsNil)
			received, _, err := wire.NewReader(bytes.NewReader(frame), wire.Limits{}).Next()
			c.Assert(err, qt.IsNil, qt.Commentf("%d services", len(document.Content().Services)))
			applied, err := received.(*wire.Update).Delta(snapshot.Version{}).Apply(nil)
			c.Assert(err, qt.IsNil)
			c.Assert(applied.Version(), qt.Equals, document.Version())
		})
	}
}

package distribution

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// TestUpdateWithRenamedResourcesFitsIntoAFrame guards against a delta that no peer can receive: it names all
// that it removes, which can be as much again as the new document.
func TestUpdateWithRenamedResourcesFitsIntoAFrame(t *testing.T) {
	c := qt.New(t)
	const services, nameBytes = 900, 4000
	documents := make([]*snapshot.Document, 0, 2)
	for _, prefix := range []string{"a", "b"} {
		content := snapshot.Content{Revision: snapshot.Revision(len(documents) + 1)}
		for i := range services {
			content.Services = append(content.Services, snapshot.Service{Name: fmt.Sprintf("%s%04d%s", prefix, i, strings.Repeat("n", nameBytes))})
		}
		document, err := snapshot.NewDocument(content)
		c.Assert(err, qt.IsNil)
		documents = append(documents, document)
	}
	frame, err := wire.Encode(wire.NewUpdate(smallestDelta(documents[0], documents[1]), true))
	c.Assert(err, qt.IsNil)
	_, _, err = wire.NewReader(bytes.NewReader(frame), wire.Limits{}).Next()
	c.Assert(err, qt.IsNil)
}

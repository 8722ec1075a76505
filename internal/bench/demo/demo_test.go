package demo_test

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/demo"
	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/snapshot"
)

func montevideo(t *testing.T) *deployment.Deployment {
	plan, err := deployment.Load(filepath.Join("..", "..", "..", "examples", "montevideo"))
	qt.Assert(t, err, qt.IsNil)
	return plan
}

// TestDemoSucceeds checks that the demo passes on the example and prints no secret.
func TestDemoSucceeds(t *testing.T) {
	t.Parallel()
	var output bytes.Buffer
	err := demo.Run(context.Background(), demo.Options{Deployment: montevideo(t), Output: &output})
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", &output))
	for _, shown := range []string{"revision 2 in force on 16 nodes", "revision 4 is refused as a whole", "trips.star:3", "revision 5 in force", "all checks succeeded"} {
		qt.Assert(t, output.String(), qt.Contains, shown)
	}
	qt.Assert(t, output.String(), qt.Not(qt.Contains), "shown-nowhere")
}

// TestDemoFailsOnRefusedRevision removes a service that the policy needs, so that the
// policy's first revision is refused and the demo must fail.
func TestDemoFailsOnRefusedRevision(t *testing.T) {
	t.Parallel()
	plan := montevideo(t)
	plan.Content.Services = []snapshot.Service{{Name: "seguimiento"}}
	var output bytes.Buffer
	err := demo.Run(context.Background(), demo.Options{Deployment: plan, Output: &output})
	qt.Assert(t, err, qt.ErrorMatches, `(?s)revision 2 did not come into force everywhere.*`)
}

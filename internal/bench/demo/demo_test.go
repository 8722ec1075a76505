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

func TestDemoHolds(t *testing.T) {
	t.Parallel()
	var output bytes.Buffer
	err := demo.Run(context.Background(), demo.Options{Deployment: montevideo(t), Output: &output})
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", &output))
	for _, shown := range []string{"revision 2 in force on 16 nodes", "revision 4 is refused whole", "trips.star:3", "revision 5 in force", "held"} {
		qt.Assert(t, output.String(), qt.Contains, shown)
	}
	qt.Assert(t, output.String(), qt.Not(qt.Contains), "shown-nowhere")
}

// TestDemoFailsWhenSomethingDoesNotHold leaves out a service that the policy
// needs, so that its first revision is refused.
func TestDemoFailsWhenSomethingDoesNotHold(t *testing.T) {
	t.Parallel()
	plan := montevideo(t)
	plan.Content.Services = []snapshot.Service{{Name: "seguimiento"}}
	var output bytes.Buffer
	err := demo.Run(context.Background(), demo.Options{Deployment: plan, Output: &output})
	qt.Assert(t, err, qt.ErrorMatches, `(?s)revision 2 did not come into force everywhere.*`)
}

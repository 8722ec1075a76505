// Package integration tests the guarantees of the mesh with real processes: the winchhead
// binary, started and stopped by the tests, between the emulated platform and backends.
package integration

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// winchheadBinary and benchBinary are the paths of the binaries that TestMain builds.
var winchheadBinary, benchBinary string

// testTimeout ends a test that waits for something that never happens. It is far longer
// than any test needs, so that a loaded machine doesn't change the result.
const testTimeout = 2 * time.Minute

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "winchhead-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	build := exec.Command("go", "build", "-o", directory, "../../cmd/winchhead", "../../cmd/winchhead-bench")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	winchheadBinary = filepath.Join(directory, "winchhead")
	benchBinary = filepath.Join(directory, "winchhead-bench")
	return m.Run()
}

// testContext returns a context that ends with the test, or after testTimeout.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// startProgram starts a binary and stops it at the end of the test. It returns once the
// program has printed its first line, which says that it is serving.
func startProgram(t testing.TB, binary string, arguments ...string) {
	command := exec.Command(binary, arguments...)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, command.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	var first [1]byte
	_, err = output.Read(first[:])
	qt.Assert(t, err, qt.IsNil)
}

package mesh

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// nodePackage is the package of the winchhead command.
const nodePackage = "github.com/winchhead/winchhead/cmd/winchhead"

// BuildBinary builds winchhead into a new temporary directory; remove deletes the
// directory. The working directory must be inside the module.
func BuildBinary(ctx context.Context) (binary string, remove func(), err error) {
	directory, err := os.MkdirTemp("", "winchhead-bench")
	if err != nil {
		return "", nil, eris.Wrap(err, "create a directory for the binary")
	}
	remove = func() { _ = os.RemoveAll(directory) } // errors are ignored: a leftover temporary directory is harmless
	binary = filepath.Join(directory, "winchhead")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", binary, nodePackage).CombinedOutput()
	if err != nil {
		remove()
		return "", nil, eris.Wrapf(err, "build winchhead: %s", output)
	}
	return binary, remove, nil
}

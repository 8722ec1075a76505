package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/winchhead/winchhead/internal/wire"
)

type versionCommand struct {
	environment
	outputFlags
}

// build describes the build of the program.
type build struct {
	Version  string `json:"version"`
	Commit   string `json:"commit,omitempty"`
	Go       string `json:"go"`
	Protocol int    `json:"protocol"`
}

// Execute prints the version, the commit and the protocol of the program.
func (c *versionCommand) Execute([]string) error {
	shown := currentBuild()
	return c.print(c.stdout, shown, func(out io.Writer) {
		_, _ = fmt.Fprintf(out, "winchhead %s (commit %s, %s, node protocol %d)\n",
			shown.Version, shown.Commit, shown.Go, shown.Protocol)
	})
}

func currentBuild() build {
	shown := build{Version: "unknown", Commit: "unknown", Protocol: wire.ProtocolVersion}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return shown
	}
	shown.Version, shown.Go = info.Main.Version, info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			shown.Commit = setting.Value
		}
	}
	return shown
}

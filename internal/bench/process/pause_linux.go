package process

import (
	"errors"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// awaitStopped waits until every thread of a child process has stopped: SIGSTOP
// takes effect some time after it was sent.
func awaitStopped(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return eris.Wrap(err, "wait for the process to stop")
		}
	}
}

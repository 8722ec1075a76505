package mesh

import (
	"context"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/deployment"
)

// process runs a node as a process of the winchhead binary.
type process struct {
	binary string
	plan   deployment.Node
	logs   io.Writer

	lock    sync.Mutex
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	failure error         // how it ended; read after done
}

func newProcess(binary string, plan deployment.Node, logs io.Writer) *process {
	done := make(chan struct{})
	close(done)
	return &process{binary: binary, plan: plan, logs: logs, done: done}
}

func (p *process) start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if running(p.done) {
		return eris.New("the node runs already")
	}
	arguments := []string{"node"}
	if p.plan.File != "" {
		arguments = append(arguments, "--settings", p.plan.File)
	}
	for key, value := range p.plan.Overrides {
		arguments = append(arguments, "--"+key+"="+value)
	}
	command := exec.Command(p.binary, arguments...)
	command.Stdout, command.Stderr = p.logs, p.logs
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start the process")
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		defer close(done)
		p.failure = command.Wait()
	}()
	return nil
}

// running reports whether a run that closes done at its end goes on.
func running(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// signal reaches the process by its id, and nothing once it has ended.
func (p *process) signal(signal os.Signal) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return nil
	}
	err := p.command.Process.Signal(signal)
	if eris.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

func (p *process) stop(ctx context.Context) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended():
		return eris.Wrap(p.failure, "the planned stop ended badly")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "the planned stop goes on")
	}
}

func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended()
	return nil
}

// pause returns once the process has stopped.
func (p *process) pause() error {
	if !running(p.ended()) {
		return eris.New("the node doesn't run")
	}
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return awaitStopped(p.command.Process.Pid)
}

func (p *process) resume() error { return p.signal(syscall.SIGCONT) }

func (p *process) ended() <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.done
}

package mesh

import (
	"context"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/app"
	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/process"
	"github.com/winchhead/winchhead/internal/logging"
)

// embedded runs a node in this process.
type embedded struct {
	plan deployment.Node
	logs io.Writer

	lock   sync.Mutex
	cancel context.CancelFunc
	done   chan struct{} // closed when the node has stopped
	runErr error         // result of Run; read only after done is closed
}

func newEmbedded(plan deployment.Node, logs io.Writer) *embedded {
	done := make(chan struct{})
	close(done)
	if logs == nil {
		logs = io.Discard
	}
	return &embedded{plan: plan, logs: logs, done: done, cancel: func() {}}
}

func (e *embedded) Start() error {
	e.lock.Lock()
	defer e.lock.Unlock()
	if process.Running(e.done) {
		return eris.New("the node is already running")
	}
	logger, err := logging.New(e.logs, e.plan.Log.Level, e.plan.Log.Format)
	if err != nil {
		return err
	}
	node, err := app.New(e.plan.Settings, app.Options{Logger: logger.WithField("node", e.plan.Node.Name)})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	e.cancel, e.done = cancel, done
	go func() {
		defer close(done)
		e.runErr = node.Run(ctx)
	}()
	return nil
}

func (e *embedded) Stop(ctx context.Context) error {
	e.lock.Lock()
	e.cancel()
	done := e.done
	e.lock.Unlock()
	select {
	case <-done:
		return eris.Wrap(e.runErr, "the node failed during the planned stop")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "the planned stop did not finish in time")
	}
}

// Kill shuts the node down gracefully: a node that runs in this process cannot be killed.
func (e *embedded) Kill() error { return e.Stop(context.Background()) }

func (*embedded) Pause() error  { return ErrUnsupported }
func (*embedded) Resume() error { return ErrUnsupported }

func (e *embedded) Ended() <-chan struct{} {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.done
}

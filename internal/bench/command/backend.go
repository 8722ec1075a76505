package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/emulator/backend"
)

const backendHelp = "Runs an emulated back end until it is interrupted. Its control API, over HTTP, " +
	"changes its behavior and shows the journal of the requests that ran."

// controlHeaderTimeout limits how long a client of the control API may take to send
// a request header.
const controlHeaderTimeout = 10 * time.Second

// backendCommand runs one emulated backend.
type backendCommand struct {
	environment
	Listen      string        `long:"listen" required:"true" value-name:"IP:PORT" description:"where requests are taken"`
	Control     string        `long:"control" value-name:"IP:PORT" description:"where the control HTTP listens; none if left out"`
	Name        string        `long:"name" default:"backend" description:"name of the instance on its answers"`
	Slots       int           `long:"slots" default:"20" description:"requests that may run at once"`
	Connections int           `long:"connections" default:"130" description:"connections that may be open at once"`
	Outbound    string        `long:"outbound" value-name:"IP:PORT" description:"outbound proxy for calls onward"`
	Work        time.Duration `long:"work" default:"5ms" description:"time of one request that names none"`
	ColdSlow    time.Duration `long:"cold-slow" description:"how long after the start work is slow"`
	ColdFactor  float64       `long:"cold-factor" default:"4" description:"how many times as long work takes then"`
}

// Execute runs the backend until the context ends.
func (c *backendCommand) Execute([]string) error {
	instance := backend.New(backend.Options{
		Name: c.Name, Slots: c.Slots, Connections: c.Connections, Outbound: c.Outbound,
		ColdSlow: c.ColdSlow, ColdFactor: c.ColdFactor,
		Behavior: backend.Behavior{WorkTime: backend.Milliseconds(c.Work.Milliseconds())},
	})
	if err := instance.Start(c.Listen); err != nil {
		return err
	}
	defer instance.Kill()
	if c.Control != "" {
		stop, err := serveHTTP(c.Control, instance.ControlHandler())
		if err != nil {
			return err
		}
		defer stop()
	}
	_, _ = fmt.Fprintf(c.stdout, "back end %s listens on %s\n", c.Name, instance.Address())
	<-c.ctx.Done()
	finish, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return eris.Wrap(instance.Close(finish), "stop the back end")
}

// stopTimeout limits how long the backend waits for requests in progress.
const stopTimeout = 10 * time.Second

// serveHTTP serves a handler on address until stop is called.
func serveHTTP(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: controlHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns ErrServerClosed after stop
	}()
	return func() {
		_ = server.Close()
		<-done
	}, nil
}

package command

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/contentfile"
	"github.com/winchhead/winchhead/internal/emulator/platform"
	"github.com/winchhead/winchhead/internal/membership"
)

const platformHelp = "Runs the emulated platform until it is interrupted. It serves the configuration and " +
	"the membership list to nodes, and the API for changes by operators on a separate address."

// platformCommand runs the emulated platform.
type platformCommand struct {
	environment
	Listen     string        `long:"listen" required:"true" value-name:"IP:PORT" description:"where nodes read"`
	Operators  string        `long:"operators" value-name:"IP:PORT" description:"where operators write; none if left out"`
	Content    string        `long:"content" value-name:"FILE" description:"first content, such as examples/montevideo/content.yaml"`
	Members    string        `long:"members" value-name:"PATTERN" description:"settings files of the members, such as 'examples/montevideo/settings/*.yaml'"`
	Host       string        `long:"host" value-name:"IP" description:"IP that the members run on instead of the one in their settings"`
	MemberLag  time.Duration `long:"member-lag" description:"how late changes of the members show"`
	MaxReaders int           `long:"max-readers" description:"clients that may read the configuration at one time; 0: any number"`
}

// Execute runs the platform until the context ends.
func (c *platformCommand) Execute([]string) error {
	emulated, err := c.newPlatform()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(c.ctx)
	if err := c.serve(ctx, group, c.Listen, emulated.Serve); err != nil {
		return err
	}
	if c.Operators != "" {
		if err := c.serve(ctx, group, c.Operators, emulated.ServeOperators); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(c.stdout, "platform listens on %s and holds %s\n", c.Listen, emulated.Version())
	return group.Wait()
}

func (c *platformCommand) newPlatform() (*platform.Platform, error) {
	options := platform.Options{MemberLag: c.MemberLag, MaxReaders: c.MaxReaders}
	var err error
	if c.Content != "" {
		if options.Content, err = contentfile.LoadContent(c.Content); err != nil {
			return nil, err
		}
	}
	if c.Members != "" {
		if options.Members, err = loadMembers(c.Members, c.Host); err != nil {
			return nil, err
		}
	}
	return platform.New(options)
}

// loadMembers returns the membership list of the nodes whose settings files match the
// pattern, with their IPs replaced by host if it is set.
func loadMembers(pattern, host string) ([]membership.ListedMember, error) {
	nodes, err := deployment.LoadNodes(pattern)
	if err != nil {
		return nil, err
	}
	plan := &deployment.Deployment{Nodes: nodes}
	if host != "" {
		if plan, err = plan.WithHost(host); err != nil {
			return nil, err
		}
	}
	return plan.Members(), nil
}

func (c *platformCommand) serve(ctx context.Context, group *errgroup.Group, address string, serve func(context.Context, net.Listener) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	group.Go(func() error { return serve(ctx, listener) })
	return nil
}

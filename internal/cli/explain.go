package cli

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const explainHelp = `Asks a node which route a request would take, which instances could get it and which secrets (by name) would be attached. Nothing is sent to a back end. Exit codes: 0 a route takes the request, 1 none does or the node holds no version, 3 the node gave no answer.`

type explainCommand struct {
	environment
	adminFlags
	outputFlags
	Method string   `long:"method" default:"GET" description:"HTTP method of the request"`
	Host   string   `long:"host" description:"Host of the request"`
	Path   string   `long:"path" default:"/" description:"path of the request"`
	Header []string `long:"header" value-name:"NAME:VALUE" description:"a header of the request; may be given again"`
}

// Execute queries the node and prints the explanation.
func (c *explainCommand) Execute([]string) error {
	request := admin.ExplainRequest{Method: c.Method, Host: c.Host, Path: c.Path, Header: http.Header{}}
	for _, line := range c.Header {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return &exitError{code: ExitUsage, message: fmt.Sprintf("--header %q: write NAME:VALUE", line)}
		}
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	explanation, err := admin.NewClient(c.Admin).Explain(c.ctx, request)
	if err != nil {
		return err
	}
	write := func(out io.Writer) { writeExplanation(out, explanation) }
	if err := c.print(c.stdout, explanation, write); err != nil {
		return err
	}
	if explanation.Route == nil || explanation.Route.Unusable {
		return &exitError{code: ExitRefused}
	}
	return nil
}

func writeExplanation(out io.Writer, explanation admin.Explanation) {
	_, _ = fmt.Fprintf(out, "Node %s holds %s (generation %d).\n", explanation.Node, explanation.Version, explanation.Generation)
	if len(explanation.EvacuatedZones) > 0 {
		_, _ = fmt.Fprintf(out, "Evacuated %s: instances there get no requests.\n", strings.Join(explanation.EvacuatedZones, ", "))
	}
	route := explanation.Route
	if route == nil {
		_, _ = fmt.Fprintln(out, "No route takes this request: it would be answered 404, not run.")
		writeVerdicts(out, explanation.Considered)
		return
	}
	_, _ = fmt.Fprintf(out, "Route     %s\n", printable(route.Name))
	if route.Fault != "" {
		_, _ = fmt.Fprintf(out, "Fault     %s\n", printable(route.Fault))
	}
	if route.Unusable {
		_, _ = fmt.Fprintln(out, "The route cannot be used: this request would be answered 503, not run.")
		return
	}
	_, _ = fmt.Fprintf(out, "Timeout   %s\n", route.Timeout)
	_, _ = fmt.Fprintf(out, "Repeat    %s\n", describeRepeat(explanation))
	_, _ = fmt.Fprintf(out, "Zone      %s\n", describeZone(*route))
	_, _ = fmt.Fprintf(out, "Secrets   %s\n", describeSecrets(route.Secrets))
	lines := newTable(out, "\nSERVICE", "WEIGHT", "INSTANCE", "ZONE", "OWN ZONE", "ADDRESS", "REMARK")
	for _, target := range explanation.Targets {
		writeTarget(lines, target)
	}
	lines.flush()
}

// writeVerdicts lists why each route does not match the request.
func writeVerdicts(out io.Writer, verdicts []admin.RouteVerdict) {
	lines := newTable(out, "\nROUTE", "WHY NOT")
	for _, verdict := range verdicts {
		reason := string(verdict.Verdict)
		if verdict.Header != "" {
			reason += " (" + verdict.Header + ")"
		}
		lines.row(verdict.Route, reason)
	}
	lines.flush()
}

func describeRepeat(explanation admin.Explanation) string {
	if !explanation.MayRepeat {
		return "no: sent again only when proved not run"
	}
	return fmt.Sprintf("yes: up to %d attempts", explanation.Route.MaxAttempts)
}

func describeZone(route admin.Route) string {
	if !route.PreferZone {
		return "any"
	}
	return fmt.Sprintf("own zone first, others above a load of %.2f", route.SpillOver)
}

func describeSecrets(secrets []snapshot.SecretHeader) string {
	if len(secrets) == 0 {
		return "none"
	}
	var names []string
	for _, secret := range secrets {
		names = append(names, fmt.Sprintf("%s in header %s", secret.Secret, secret.Header))
	}
	return strings.Join(names, ", ")
}

func writeTarget(lines *table, target admin.Target) {
	weight := strconv.Itoa(target.Weight)
	if len(target.Instances) == 0 {
		lines.row(target.Service, weight, "", "", "", "", "no instance takes work now")
	}
	for _, instance := range target.Instances {
		remark := ""
		if instance.Suspected {
			remark = "reported as unreachable"
		}
		lines.row(target.Service, weight, string(instance.Node), instance.Zone,
			yesOrNo(instance.SameZone), instance.DataAddress, remark)
	}
}

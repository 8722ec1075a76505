package fleet

import (
	"fmt"
	"strings"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// routesPerService makes 300 routes in 30 services.
const routesPerService = 10

// initialContent is the document that the fleet starts with: one policy and one
// secret a service.
func initialContent() snapshot.Content {
	content := snapshot.Content{Revision: 1}
	for number := range serviceCount {
		name := serviceName(number)
		content.Services = append(content.Services, snapshot.Service{Name: name, Slots: 20, Connections: 130})
		content.Secrets = append(content.Secrets, snapshot.Secret{Name: name + "-token", Value: "throwaway-" + name})
		content.Policies = append(content.Policies, servicePolicy(number, 1))
	}
	return content
}

// servicePolicy is the policy of one service; edition tells one state of it from
// another.
func servicePolicy(number, edition int) snapshot.Policy {
	name := serviceName(number)
	var program strings.Builder
	fmt.Fprintf(&program, "# Routes of %s, edition %d.\n", name, edition)
	for route := range routesPerService {
		fmt.Fprintf(&program,
			"route(name=\"r%d\", path=\"/%s/r%d\", to=%q, timeout=\"%dms\",\n"+
				"      secrets=[secret_header(header=\"Authorization\", secret=\"%s-token\", prefix=\"Bearer \")])\n",
			route, name, route, name, 1000+edition, name)
	}
	return snapshot.Policy{Name: name + ".star", Program: program.String()}
}

// changeOneService returns an edit that revises the policy of one service, in
// turn.
func changeOneService(change int) func(*snapshot.Content) error {
	return func(content *snapshot.Content) error {
		policy := servicePolicy(change%serviceCount, 2+change)
		for i := range content.Policies {
			if content.Policies[i].Name == policy.Name {
				content.Policies[i] = policy
				return nil
			}
		}
		return fmt.Errorf("no policy %s to revise", policy.Name)
	}
}

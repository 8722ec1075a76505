// Package policy turns the policies of a document, which are short Starlark
// programs, into routes. A program is deterministic, does no input or output and
// is bounded in steps and memory; docs/POLICIES.md is the language reference.
//
// A program may ask with ready() about the state of the fleet. It is run ahead
// for each combination of answers it can get, so that a document is accepted or
// refused alike on every node, whatever a node believes of the fleet, and a
// change of the fleet runs no program. Package configuration decides when an
// answer changes.
package policy

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// The limits of the programs of one document, all policies together.
const (
	// MaxRoutes bounds the routes that are in force at once.
	MaxRoutes = 2000
	// MaxSteps bounds the computation steps, all variants of all programs together.
	MaxSteps = 500_000
	// MaxMemoryBytes bounds what the programs build with operators and routes,
	// counted as if nothing were ever freed.
	MaxMemoryBytes = 16 << 20
	// MaxVariants bounds the combinations of answers that one program can meet.
	MaxVariants = 64
)

// programSuffix is left out of the names of routes.
const programSuffix = ".star"

// FleetView tells how many instances of a service may take new work, in one
// zone, or in all zones when zone is empty. membership.View implements it.
type FleetView interface {
	ReadyInstances(service, zone string) int
}

// Plan is a compiled document: its routes for each combination of answers to the
// conditions. It is immutable.
type Plan struct {
	document   *snapshot.Document
	programs   []compiledProgram
	conditions []Condition
}

// compiledProgram is one policy with its routes for each combination of answers.
type compiledProgram struct {
	name     string
	variants []variant
}

// Compile returns the routes of a document for a fleet as it is now. All
// policies compile, or the error, an *Errors, tells what is wrong with each.
func Compile(document *snapshot.Document, fleet FleetView) (*snapshot.Snapshot, error) {
	plan, err := NewPlan(document)
	if err != nil {
		return nil, err
	}
	return plan.Snapshot(CountsOf(fleet))
}

// NewPlan runs the policies of a document. The error is an *Errors when a policy
// is at fault. Whether NewPlan succeeds depends on the document alone.
func NewPlan(document *snapshot.Document) (*Plan, error) {
	content := document.Content()
	compiler := newCompiler(content)
	plan := &Plan{document: document}
	var faults []*Error
	for _, source := range content.Policies {
		program, fault := compiler.compile(source)
		if fault != nil {
			faults = append(faults, fault)
			continue
		}
		plan.programs = append(plan.programs, program)
	}
	if len(faults) > 0 {
		return nil, &Errors{Faults: faults}
	}
	plan.conditions = conditionsOf(plan.programs)
	return plan, nil
}

// WithDocument returns the plan for a document that differs from the plan's own
// only in what routes do not depend on (snapshot.SameRouting).
func (p *Plan) WithDocument(document *snapshot.Document) *Plan {
	next := *p
	next.document = document
	return &next
}

// Document returns the document that the plan was compiled from.
func (p *Plan) Document() *snapshot.Document { return p.document }

// Conditions returns all conditions that may matter, sorted.
func (p *Plan) Conditions() []Condition { return p.conditions }

// Snapshot returns the snapshot for the given answers.
func (p *Plan) Snapshot(answers Evaluator) (*snapshot.Snapshot, error) {
	var routes []snapshot.Route
	for i := range p.programs {
		chosen := p.programs[i].choose(answers)
		if chosen == nil {
			return nil, eris.Errorf("policy %s: the conditions were answered two ways at once", p.programs[i].name)
		}
		routes = append(routes, chosen.routes...)
	}
	content := p.document.Content()
	routes = slices.Grow(routes, len(content.Routes))
	for _, typed := range content.Routes {
		routes = append(routes, typed.Compile())
	}
	built, err := snapshot.New(p.document.Version(), routes, content.Services, content.Secrets)
	if err != nil {
		return nil, err
	}
	return built.WithFleet(p.document.Version(), content), nil
}

// choose returns the variant whose answers all hold. The variants are the leaves
// of a decision tree, so that exactly one fits steady answers.
func (c *compiledProgram) choose(answers Evaluator) *variant {
	for i := range c.variants {
		if c.variants[i].fits(answers) {
			return &c.variants[i]
		}
	}
	return nil
}

// routePrefix returns what the names of a policy's routes start with.
func routePrefix(policyName string) string {
	return strings.TrimSuffix(policyName, programSuffix) + "/"
}

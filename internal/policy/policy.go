// Package policy compiles the policies of a document, which are short Starlark
// programs, to routes. A program is deterministic, has no input or output, and is
// limited in steps and memory; docs/POLICIES.md is the language reference.
//
// A program can query the state of the fleet with ready(). It is run in advance for
// each combination of results, so that every node accepts or refuses a document
// regardless of its view of the fleet, and no program runs when the fleet changes.
// Package configuration decides when the result of a condition changes.
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
	// MaxSteps bounds the computation steps of all variants of all programs together.
	MaxSteps = 500_000
	// MaxMemoryBytes bounds the memory of values built with operators and of routes,
	// counted as if none were ever freed.
	MaxMemoryBytes = 16 << 20
	// MaxVariants bounds the combinations of condition results for one program.
	MaxVariants = 64
)

// programSuffix is removed from the name of a policy to form its route prefix.
const programSuffix = ".star"

// FleetView counts the instances of a service that accept new requests, in one zone,
// or in all zones if zone is empty. membership.View implements it.
type FleetView interface {
	ReadyInstances(service, zone string) int
}

// Plan is a compiled document: its routes for each combination of results of the
// conditions. It is immutable.
type Plan struct {
	document   *snapshot.Document
	programs   []compiledProgram
	conditions []Condition
}

// compiledProgram is one policy with its routes for each combination of results.
type compiledProgram struct {
	name     string
	variants []variant
}

// Compile returns the snapshot of a document for the present fleet. The error is an
// *Errors if any policy cannot be compiled.
func Compile(document *snapshot.Document, fleet FleetView) (*snapshot.Snapshot, error) {
	plan, err := NewPlan(document)
	if err != nil {
		return nil, err
	}
	return plan.Snapshot(NewCountEvaluator(fleet))
}

// NewPlan runs the policies of a document. The error is an *Errors if any policy is
// faulty. Whether NewPlan succeeds depends on the document alone.
func NewPlan(document *snapshot.Document) (*Plan, error) {
	content := document.Content()
	compiler := newCompiler(content)
	plan := &Plan{document: document}
	var faults []*Error
	for _, policy := range content.Policies {
		program, fault := compiler.compile(policy)
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

// WithDocument returns the plan for a document with the same routing as the plan's
// own (snapshot.SameRouting).
func (p *Plan) WithDocument(document *snapshot.Document) *Plan {
	next := *p
	next.document = document
	return &next
}

// Document returns the document that the plan was compiled from.
func (p *Plan) Document() *snapshot.Document { return p.document }

// Conditions returns, sorted, all conditions that any variant evaluates.
func (p *Plan) Conditions() []Condition { return p.conditions }

// Snapshot returns the snapshot for the given results of the conditions.
func (p *Plan) Snapshot(conditions Evaluator) (*snapshot.Snapshot, error) {
	var routes []snapshot.Route
	for i := range p.programs {
		variant := p.programs[i].variantFor(conditions)
		if variant == nil {
			return nil, eris.Errorf("policy %s: a condition changed its result while the snapshot was built", p.programs[i].name)
		}
		routes = append(routes, variant.routes...)
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
	if built, err = built.WithTenants(content.Tenants); err != nil {
		return nil, err
	}
	return built.WithFleet(p.document.Version(), content), nil
}

// variantFor returns the variant that matches the conditions. The variants are the
// leaves of a decision tree, so that exactly one matches unless results change
// meanwhile.
func (c *compiledProgram) variantFor(conditions Evaluator) *variant {
	for i := range c.variants {
		if c.variants[i].matches(conditions) {
			return &c.variants[i]
		}
	}
	return nil
}

// routePrefix returns the prefix of the names of a policy's routes.
func routePrefix(policyName string) string {
	return strings.TrimSuffix(policyName, programSuffix) + "/"
}

package policy

import (
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// executionKey is the key of the *execution among the locals of a thread.
const executionKey = "run"

// fileOptions allow if and for statements at the top level, and no sets, while
// loops or recursion.
var fileOptions = syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}

// compiler compiles the policies of one document.
type compiler struct {
	services map[string]bool
	secrets  map[string]bool
	budget   budget
	// routeCount is how many routes of the policies compiled so far can be in force at
	// once.
	routeCount int
	prefixes   map[string]string // route prefix to policy
}

func newCompiler(content snapshot.Content) *compiler {
	compiler := &compiler{
		services: make(map[string]bool, len(content.Services)),
		secrets:  make(map[string]bool, len(content.Secrets)),
		budget:   budget{steps: MaxSteps, memory: MaxMemoryBytes},
		prefixes: make(map[string]string, len(content.Policies)),
	}
	for _, service := range content.Services {
		compiler.services[service.Name] = true
	}
	for _, secret := range content.Secrets {
		compiler.secrets[secret.Name] = true
	}
	return compiler
}

// compile runs one policy for each combination of results of its conditions.
func (c *compiler) compile(source snapshot.Policy) (compiledProgram, *Error) {
	compiled := compiledProgram{name: source.Name}
	if err := c.reservePrefix(source.Name); err != nil {
		return compiled, newError(source.Name, err)
	}
	program, err := parse(source)
	if err != nil {
		return compiled, newError(source.Name, err)
	}
	maxRoutes := 0
	pending := [][]conditionResult{nil}
	for len(pending) > 0 {
		assumed := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		result, fault := c.run(source.Name, program, assumed)
		if fault != nil {
			return compiled, fault
		}
		pending = append(pending, branches(result.results, len(assumed))...)
		compiled.variants = append(compiled.variants, result)
		maxRoutes = max(maxRoutes, len(result.routes))
		if len(compiled.variants)+len(pending) > MaxVariants {
			return compiled, newError(source.Name, errTooManyVariants())
		}
	}
	c.routeCount += maxRoutes
	if c.routeCount > MaxRoutes {
		return compiled, newError(source.Name, problemf("merge routes by using shorter path prefixes", "the document has more than %d routes", MaxRoutes))
	}
	return compiled, nil
}

// reservePrefix fails if another policy has the same prefix for the names of its routes.
func (c *compiler) reservePrefix(name string) error {
	prefix := routePrefix(name)
	if other, taken := c.prefixes[prefix]; taken {
		return problemf("rename one of them", "policies %q and %q give their routes the same names", other, name)
	}
	c.prefixes[prefix] = name
	return nil
}

// branches returns the assumptions still to run: for each result beyond the assumed
// ones, the results before it and its opposite.
func branches(results []conditionResult, assumed int) [][]conditionResult {
	var pending [][]conditionResult
	for i := assumed; i < len(results); i++ {
		branch := append([]conditionResult(nil), results[:i+1]...)
		branch[i].holds = !branch[i].holds
		pending = append(pending, branch)
	}
	return pending
}

// parse parses a policy, restricts it to the supported language and compiles it.
func parse(source snapshot.Policy) (*starlark.Program, error) {
	file, err := fileOptions.Parse(source.Name, source.Program, 0)
	if err != nil {
		return nil, err
	}
	if err := restrict(file); err != nil {
		return nil, err
	}
	return starlark.FileProgram(file, predeclared.Has)
}

// variant is the outcome of one run: the results of conditions that the program got
// and the routes that it defined.
type variant struct {
	results []conditionResult
	routes  []snapshot.Route
}

func (v *variant) matches(conditions Evaluator) bool {
	for _, result := range v.results {
		if conditions.Holds(result.condition) != result.holds {
			return false
		}
	}
	return true
}

// execution is the state of one run of a program.
type execution struct {
	compiler   *compiler
	policy     string
	thread     *starlark.Thread
	assumed    []conditionResult
	evaluated  map[Condition]bool
	routeNames map[string]syntax.Position
	variant    variant
}

// run executes a program. Conditions that it evaluates after the assumed ones hold.
func (c *compiler) run(policy string, program *starlark.Program, assumed []conditionResult) (variant, *Error) {
	thread := &starlark.Thread{Name: policy}
	current := &execution{
		compiler:   c,
		policy:     policy,
		thread:     thread,
		assumed:    assumed,
		evaluated:  map[Condition]bool{},
		routeNames: map[string]syntax.Position{},
	}
	thread.SetLocal(executionKey, current)
	thread.SetMaxExecutionSteps(max(1, c.budget.steps))
	exhausted := false
	thread.OnMaxSteps = func(thread *starlark.Thread) {
		exhausted = true
		thread.Cancel("too many steps")
	}
	_, err := program.Init(thread, predeclared)
	if used := thread.ExecutionSteps(); used < c.budget.steps {
		c.budget.steps -= used
	} else {
		c.budget.steps = 0
	}
	if err == nil {
		return current.variant, nil
	}
	fault := newError(policy, err)
	if exhausted {
		limit := errTooManySteps().(*problem)
		fault.Problem, fault.Hint = limit.text, limit.hint
	}
	for _, result := range current.variant.results {
		fault.Assumed = append(fault.Assumed, result.String())
	}
	return variant{}, fault
}

// executionOf returns the execution that a builtin was called from.
func executionOf(thread *starlark.Thread) *execution { return thread.Local(executionKey).(*execution) }

func errTooManyVariants() error {
	return problemf("use fewer conditions in one policy, or split it", "the conditions combine in more than %d ways", MaxVariants)
}

// evaluate returns the result of a condition for ready(): the assumed one, or true.
func (r *execution) evaluate(condition Condition) (bool, error) {
	if holds, known := r.evaluated[condition]; known {
		return holds, nil
	}
	if len(r.variant.results) >= MaxVariants {
		return false, errTooManyVariants()
	}
	holds := true
	if next := len(r.variant.results); next < len(r.assumed) {
		holds = r.assumed[next].holds
	}
	r.evaluated[condition] = holds
	r.variant.results = append(r.variant.results, conditionResult{condition: condition, holds: holds})
	return holds, nil
}

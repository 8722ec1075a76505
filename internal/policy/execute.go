package policy

import (
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// runKey is the name under which a thread holds its *execution.
const runKey = "run"

// fileOptions are the options of the language: conditions and loops at the top
// level, no sets, no while, no recursion.
var fileOptions = syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}

// compiler compiles the policies of one document.
type compiler struct {
	services map[string]bool
	secrets  map[string]bool
	budget   budget
	// routes counts the most routes that can be in force at once.
	routes   int
	prefixes map[string]string // route prefix to policy
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

// compile runs one policy for each combination of answers it can get.
func (c *compiler) compile(source snapshot.Policy) (compiledProgram, *Error) {
	compiled := compiledProgram{name: source.Name}
	if err := c.claimPrefix(source.Name); err != nil {
		return compiled, newError(source.Name, err)
	}
	program, err := parse(source)
	if err != nil {
		return compiled, newError(source.Name, err)
	}
	most := 0
	pending := [][]answer{nil}
	for len(pending) > 0 {
		assumed := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		result, fault := c.run(source.Name, program, assumed)
		if fault != nil {
			return compiled, fault
		}
		pending = append(pending, branches(result.answers, len(assumed))...)
		compiled.variants = append(compiled.variants, result)
		most = max(most, len(result.routes))
		if len(compiled.variants)+len(pending) > MaxVariants {
			return compiled, newError(source.Name, errTooManyVariants())
		}
	}
	c.routes += most
	if c.routes > MaxRoutes {
		return compiled, newError(source.Name, problemf("join routes with shorter path prefixes", "the document has more than %d routes", MaxRoutes))
	}
	return compiled, nil
}

// claimPrefix makes sure that no two policies give routes the same names.
func (c *compiler) claimPrefix(name string) error {
	prefix := routePrefix(name)
	if other, taken := c.prefixes[prefix]; taken {
		return problemf("rename one of them", "policies %q and %q give their routes the same names", other, name)
	}
	c.prefixes[prefix] = name
	return nil
}

// branches returns the assumptions still to run: for each answer that was given
// freely, the answers before it and its opposite.
func branches(answers []answer, assumed int) [][]answer {
	var pending [][]answer
	for i := assumed; i < len(answers); i++ {
		branch := append([]answer(nil), answers[:i+1]...)
		branch[i].holds = !branch[i].holds
		pending = append(pending, branch)
	}
	return pending
}

// parse checks the text against the subset of the language and compiles it.
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

// variant is the outcome of one run: the answers given and the routes stated.
type variant struct {
	answers []answer
	routes  []snapshot.Route
}

func (v *variant) fits(answers Evaluator) bool {
	for _, given := range v.answers {
		if answers.Holds(given.condition) != given.holds {
			return false
		}
	}
	return true
}

// execution is the state of one run of a program.
type execution struct {
	compiler *compiler
	policy   string
	thread   *starlark.Thread
	assumed  []answer
	given    map[Condition]bool
	names    map[string]syntax.Position
	result   variant
}

// run executes a program; conditions beyond the assumed ones hold.
func (c *compiler) run(policy string, program *starlark.Program, assumed []answer) (variant, *Error) {
	thread := &starlark.Thread{Name: policy}
	current := &execution{
		compiler: c,
		policy:   policy,
		thread:   thread,
		assumed:  assumed,
		given:    map[Condition]bool{},
		names:    map[string]syntax.Position{},
	}
	thread.SetLocal(runKey, current)
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
		return current.result, nil
	}
	fault := newError(policy, err)
	if exhausted {
		limit := errTooManySteps().(*problem)
		fault.Problem, fault.Hint = limit.text, limit.hint
	}
	for _, given := range current.result.answers {
		fault.Assumed = append(fault.Assumed, given.String())
	}
	return variant{}, fault
}

// runOf returns the execution that a builtin was called from.
func runOf(thread *starlark.Thread) *execution { return thread.Local(runKey).(*execution) }

func errTooManyVariants() error {
	return problemf("ask fewer conditions in one policy, or split it", "the conditions combine in more than %d ways", MaxVariants)
}

// answer tells a program whether a condition holds.
func (r *execution) answer(condition Condition) (bool, error) {
	if holds, asked := r.given[condition]; asked {
		return holds, nil
	}
	if len(r.result.answers) >= MaxVariants {
		return false, errTooManyVariants()
	}
	holds := true
	if next := len(r.result.answers); next < len(r.assumed) {
		holds = r.assumed[next].holds
	}
	r.given[condition] = holds
	r.result.answers = append(r.result.answers, answer{condition: condition, holds: holds})
	return holds, nil
}

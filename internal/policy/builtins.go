package policy

import (
	"fmt"
	"strconv"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxAtLeast bounds the argument at_least of ready().
const maxAtLeast = 100_000

// predeclared holds the names of the language besides None, True and False.
var predeclared = newPredeclared()

func newPredeclared() starlark.StringDict {
	builtins := guardBuiltins()
	for name, function := range map[string]builtin{
		"route":         routeBuiltin,
		"target":        targetBuiltin,
		"secret_header": secretHeaderBuiltin,
		"ready":         readyBuiltin,
		"fail":          failBuiltin,
		"str":           stringBuiltin,
		"len":           lengthBuiltin,
		"range":         rangeBuiltin,
	} {
		builtins[name] = starlark.NewBuiltin(name, func(thread *starlark.Thread, called *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			return function(executionOf(thread), arguments{function: called.Name(), positional: args, named: kwargs})
		})
	}
	return builtins
}

// builtin is a function of the language.
type builtin func(run *execution, args arguments) (starlark.Value, error)

// arguments are the arguments of a call of a builtin.
type arguments struct {
	function   string
	positional starlark.Tuple
	named      []starlark.Tuple
}

// unpack stores the arguments in the variables; pairs is as in starlark.UnpackArgs.
func (a arguments) unpack(pairs ...any) error {
	err := starlark.UnpackArgs(a.function, a.positional, a.named, pairs...)
	if err != nil {
		return problemf("see the arguments of "+a.function+" in "+referencePage, "%s", err)
	}
	return nil
}

// targetValue is what target() returns.
type targetValue struct{ target snapshot.WeightedService }

// String implements starlark.Value.
func (t targetValue) String() string {
	return fmt.Sprintf("target(%q, weight=%d)", t.target.Service, t.target.Weight)
}

// Type implements starlark.Value.
func (targetValue) Type() string { return "target" }

// Freeze implements starlark.Value; the value never changes.
func (targetValue) Freeze() {}

// Truth implements starlark.Value.
func (targetValue) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (targetValue) Hash() (uint32, error) { return 0, fmt.Errorf("a target cannot be a dict key") }

// secretHeaderValue is what secret_header() returns. It holds the name of the
// secret, not its value.
type secretHeaderValue struct{ header snapshot.SecretHeader }

// String implements starlark.Value.
func (s secretHeaderValue) String() string {
	return fmt.Sprintf("secret_header(%q, %q)", s.header.Header, s.header.Secret)
}

// Type implements starlark.Value.
func (secretHeaderValue) Type() string { return "secret_header" }

// Freeze implements starlark.Value; the value never changes.
func (secretHeaderValue) Freeze() {}

// Truth implements starlark.Value.
func (secretHeaderValue) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (secretHeaderValue) Hash() (uint32, error) {
	return 0, fmt.Errorf("a secret header cannot be a dict key")
}

func targetBuiltin(run *execution, args arguments) (starlark.Value, error) {
	target := snapshot.WeightedService{Weight: 1}
	if err := args.unpack("service", &target.Service, "weight?", &target.Weight); err != nil {
		return nil, err
	}
	if err := run.checkService(target.Service); err != nil {
		return nil, err
	}
	if target.Weight < 1 || target.Weight > maxWeight {
		return nil, problemf("weights are relative: 1 and 3 give one quarter and three quarters of the requests", "weight %d is not between 1 and %d", target.Weight, maxWeight)
	}
	return targetValue{target: target}, nil
}

func secretHeaderBuiltin(run *execution, args arguments) (starlark.Value, error) {
	var secretHeader snapshot.SecretHeader
	if err := args.unpack("header", &secretHeader.Header, "secret", &secretHeader.Secret, "prefix?", &secretHeader.Prefix); err != nil {
		return nil, err
	}
	if !run.compiler.secrets[secretHeader.Secret] {
		return nil, problemf("publish the secret with this revision, or correct the name", "there is no secret %q in this revision", secretHeader.Secret)
	}
	header, err := checkSecretHeader(secretHeader.Header)
	if err != nil {
		return nil, err
	}
	secretHeader.Header = header
	if !isPrintableASCII(secretHeader.Prefix) || len(secretHeader.Prefix) > maxPrefixBytes {
		return nil, problemf(`use something like "Bearer "`, "the prefix of header %s is not printable or longer than %d bytes", header, maxPrefixBytes)
	}
	return secretHeaderValue{header: secretHeader}, nil
}

func readyBuiltin(run *execution, args arguments) (starlark.Value, error) {
	condition := Condition{AtLeast: 1}
	if err := args.unpack("service", &condition.Service, "zone?", &condition.Zone, "at_least?", &condition.AtLeast); err != nil {
		return nil, err
	}
	if err := run.checkService(condition.Service); err != nil {
		return nil, err
	}
	if len(condition.Zone) > maxNameBytes {
		return nil, problemf("use the name of a zone", "the name of the zone is longer than %d bytes", maxNameBytes)
	}
	if condition.AtLeast < 1 || condition.AtLeast > maxAtLeast {
		return nil, problemf("use 1 to ask whether any instance is ready", "at_least %d is not between 1 and %d", condition.AtLeast, maxAtLeast)
	}
	holds, err := run.evaluate(condition)
	return starlark.Bool(holds), err
}

func failBuiltin(_ *execution, args arguments) (starlark.Value, error) {
	var message string
	if err := args.unpack("message", &message); err != nil {
		return nil, err
	}
	return nil, problemf("the policy called fail()", "%s", message)
}

func stringBuiltin(run *execution, args arguments) (starlark.Value, error) {
	var value starlark.Value
	if err := args.unpack("x", &value); err != nil {
		return nil, err
	}
	if !isScalar(value) {
		return nil, problemf("use str() on strings and numbers", "str() does not accept a value of type %s", value.Type())
	}
	if text, ok := value.(starlark.String); ok {
		return text, nil
	}
	text := value.String()
	return starlark.String(text), run.chargeString(len(text))
}

func lengthBuiltin(_ *execution, args arguments) (starlark.Value, error) {
	var value starlark.Value
	if err := args.unpack("x", &value); err != nil {
		return nil, err
	}
	length := starlark.Len(value)
	if length < 0 {
		return nil, problemf("use len() on strings, lists and dicts", "len() does not accept a value of type %s", value.Type())
	}
	return starlark.MakeInt(length), nil
}

func rangeBuiltin(run *execution, args arguments) (starlark.Value, error) {
	for _, argument := range args.positional {
		if number, ok := argument.(starlark.Int); ok {
			if value, fits := number.Int64(); fits && value >= -MaxSteps && value <= MaxSteps {
				continue
			}
		}
		return nil, problemf("use smaller numbers", "an argument of range() is not a number between %d and %d", -MaxSteps, MaxSteps)
	}
	if len(args.named) > 0 {
		return nil, problemf("write range(10) or range(1, 10)", "range() takes no named arguments")
	}
	return starlark.Call(run.thread, starlark.Universe["range"], args.positional, nil)
}

// checkService fails if the document has no service of that name.
func (r *execution) checkService(name string) error {
	if r.compiler.services[name] {
		return nil
	}
	return problemf("publish the service with this revision, or correct the name", "there is no service %s in this revision", strconv.Quote(truncate(name)))
}

// caller returns the position in the program from which the current builtin was called.
func (r *execution) caller() syntax.Position { return r.thread.CallFrame(1).Pos }

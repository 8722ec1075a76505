package policy

import (
	"fmt"
	"strconv"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxAtLeast bounds the count that ready() can ask for.
const maxAtLeast = 100_000

// predeclared are the names of the language, beside None, True and False.
var predeclared = newPredeclared()

func newPredeclared() starlark.StringDict {
	names := guards()
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
		names[name] = starlark.NewBuiltin(name, func(thread *starlark.Thread, called *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			return function(runOf(thread), arguments{function: called.Name(), positional: args, named: kwargs})
		})
	}
	return names
}

// builtin is a function of the language.
type builtin func(run *execution, given arguments) (starlark.Value, error)

// arguments are what a builtin was called with.
type arguments struct {
	function   string
	positional starlark.Tuple
	named      []starlark.Tuple
}

// unpack stores the arguments in the variables; pairs is as in starlark.UnpackArgs.
func (a arguments) unpack(pairs ...any) error {
	err := starlark.UnpackArgs(a.function, a.positional, a.named, pairs...)
	if err != nil {
		return problemf("the arguments of "+a.function+" are in "+referencePage, "%s", err)
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
func (targetValue) Hash() (uint32, error) { return 0, fmt.Errorf("a target cannot be a key") }

// secretHeaderValue is what secret_header() returns. It names the secret only.
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
	return 0, fmt.Errorf("a secret header cannot be a key")
}

func targetBuiltin(run *execution, given arguments) (starlark.Value, error) {
	target := snapshot.WeightedService{Weight: 1}
	if err := given.unpack("service", &target.Service, "weight?", &target.Weight); err != nil {
		return nil, err
	}
	if err := run.checkService(target.Service); err != nil {
		return nil, err
	}
	if target.Weight < 1 || target.Weight > snapshot.MaxWeight {
		return nil, problemf("weights are relative: 1 and 3 send one and three quarters", "weight %d is not between 1 and %d", target.Weight, snapshot.MaxWeight)
	}
	return targetValue{target: target}, nil
}

func secretHeaderBuiltin(run *execution, given arguments) (starlark.Value, error) {
	var attached snapshot.SecretHeader
	if err := given.unpack("header", &attached.Header, "secret", &attached.Secret, "prefix?", &attached.Prefix); err != nil {
		return nil, err
	}
	if !run.compiler.secrets[attached.Secret] {
		return nil, problemf("publish the secret with this revision, or correct the name", "there is no secret %q in this revision", attached.Secret)
	}
	header, err := checkSecretHeader(attached.Header)
	if err != nil {
		return nil, err
	}
	attached.Header = header
	if !isHeaderText(attached.Prefix) || len(attached.Prefix) > maxPrefixBytes {
		return nil, problemf(`use something like "Bearer "`, "the prefix of header %s is not printable or longer than %d bytes", header, maxPrefixBytes)
	}
	return secretHeaderValue{header: attached}, nil
}

func readyBuiltin(run *execution, given arguments) (starlark.Value, error) {
	condition := Condition{AtLeast: 1}
	if err := given.unpack("service", &condition.Service, "zone?", &condition.Zone, "at_least?", &condition.AtLeast); err != nil {
		return nil, err
	}
	if err := run.checkService(condition.Service); err != nil {
		return nil, err
	}
	if len(condition.Zone) > snapshot.MaxNameBytes {
		return nil, problemf("use the name of a zone", "the name of the zone is longer than %d bytes", snapshot.MaxNameBytes)
	}
	if condition.AtLeast < 1 || condition.AtLeast > maxAtLeast {
		return nil, problemf("use 1 to ask whether any instance is ready", "at_least %d is not between 1 and %d", condition.AtLeast, maxAtLeast)
	}
	holds, err := run.answer(condition)
	return starlark.Bool(holds), err
}

func failBuiltin(_ *execution, given arguments) (starlark.Value, error) {
	var message string
	if err := given.unpack("message", &message); err != nil {
		return nil, err
	}
	return nil, problemf("the policy itself refuses with fail()", "%s", message)
}

func stringBuiltin(run *execution, given arguments) (starlark.Value, error) {
	var value starlark.Value
	if err := given.unpack("x", &value); err != nil {
		return nil, err
	}
	if !isScalar(value) {
		return nil, problemf("use str() on strings and numbers", "str() does not take a value of type %s", value.Type())
	}
	if text, ok := value.(starlark.String); ok {
		return text, nil
	}
	text := value.String()
	return starlark.String(text), run.chargeString(len(text))
}

func lengthBuiltin(_ *execution, given arguments) (starlark.Value, error) {
	var value starlark.Value
	if err := given.unpack("x", &value); err != nil {
		return nil, err
	}
	length := starlark.Len(value)
	if length < 0 {
		return nil, problemf("use len() on strings, lists and dicts", "len() does not take a value of type %s", value.Type())
	}
	return starlark.MakeInt(length), nil
}

func rangeBuiltin(run *execution, given arguments) (starlark.Value, error) {
	for _, argument := range given.positional {
		if number, ok := argument.(starlark.Int); ok {
			if value, fits := number.Int64(); fits && value >= -MaxSteps && value <= MaxSteps {
				continue
			}
		}
		return nil, problemf("use smaller numbers", "an argument of range() is not a number between %d and %d", -MaxSteps, MaxSteps)
	}
	if len(given.named) > 0 {
		return nil, problemf("write range(10) or range(1, 10)", "range() takes no named arguments")
	}
	return starlark.Call(run.thread, starlark.Universe["range"], given.positional, nil)
}

// checkService refuses a service that the document does not have.
func (r *execution) checkService(name string) error {
	if r.compiler.services[name] {
		return nil
	}
	return problemf("publish the service with this revision, or correct the name", "there is no service %s in this revision", strconv.Quote(shorten(name)))
}

// caller returns the position of the call in the program.
func (r *execution) caller() syntax.Position { return r.thread.CallFrame(1).Pos }

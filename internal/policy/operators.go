package policy

import (
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Names of the guards that replace syntax other than operators. They contain
// characters that no identifier can have.
const (
	guardTuple = "tuple()"
	guardKey   = "[key]"
)

const (
	// maxTupleElements bounds the elements of a tuple.
	maxTupleElements = 16
	// maxListElements bounds the elements of a list built by +.
	maxListElements = 10_000
	// maxIndex bounds the numbers used as an index or a dict key.
	maxIndex = maxListElements
)

// guardedOperators holds the binary operators of the language, except "and" and "or".
var guardedOperators = map[syntax.Token]bool{
	syntax.PLUS: true, syntax.MINUS: true, syntax.STAR: true, syntax.SLASH: true,
	syntax.SLASHSLASH: true, syntax.PERCENT: true,
	syntax.EQL: true, syntax.NEQ: true, syntax.LT: true, syntax.LE: true,
	syntax.GT: true, syntax.GE: true, syntax.IN: true, syntax.NOT_IN: true,
}

// guardBuiltins returns the builtins that replace guarded syntax, by the names that
// restrict uses.
func guardBuiltins() starlark.StringDict {
	builtins := starlark.StringDict{
		guardTuple: starlark.NewBuiltin(guardTuple, makeTuple),
		guardKey:   starlark.NewBuiltin(guardKey, checkKey),
	}
	for operator := range guardedOperators {
		name := operator.String()
		builtins[name] = starlark.NewBuiltin(name, func(thread *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
			return applyOperator(executionOf(thread), operator, args[0], args[1])
		})
	}
	return builtins
}

// applyOperator applies an operator within the limits and charges its cost.
func applyOperator(run *execution, operator syntax.Token, x, y starlark.Value) (starlark.Value, error) {
	switch operator {
	case syntax.EQL, syntax.NEQ, syntax.LT, syntax.LE, syntax.GT, syntax.GE:
		return compare(run, operator, x, y)
	case syntax.IN, syntax.NOT_IN:
		if err := run.chargeTraversal(x, y); err != nil {
			return nil, err
		}
		return starlark.Binary(operator, x, y)
	case syntax.PERCENT:
		if pattern, ok := x.(starlark.String); ok {
			return format(run, pattern, y)
		}
	case syntax.PLUS:
		if err := checkConcatenation(run, x, y); err != nil {
			return nil, err
		}
		return checkNumber(starlark.Binary(operator, x, y))
	}
	if !isNumber(x) || !isNumber(y) {
		return nil, problemf("use numbers", "operator %s does not support %s and %s", operator, x.Type(), y.Type())
	}
	return checkNumber(starlark.Binary(operator, x, y))
}

func compare(run *execution, operator syntax.Token, x, y starlark.Value) (starlark.Value, error) {
	if err := run.chargeTraversal(x, y); err != nil {
		return nil, err
	}
	if isBool(x) != isBool(y) && (isNumber(x) || isNumber(y)) {
		return nil, problemf("ready() returns True or False; use at_least= to require a number of instances", "cannot compare a bool with a number")
	}
	holds, err := starlark.Compare(operator, x, y)
	return starlark.Bool(holds), err
}

// checkConcatenation checks the operands of + and charges its result before it is
// built.
func checkConcatenation(run *execution, x, y starlark.Value) error {
	switch x := x.(type) {
	case starlark.String:
		other, ok := y.(starlark.String)
		if !ok {
			return problemf("use str() to convert it to a string", "cannot add a string and a value of type %s", y.Type())
		}
		return run.chargeString(len(x) + len(other))
	case *starlark.List:
		other, ok := y.(*starlark.List)
		if !ok {
			return problemf("put it in a list", "cannot add a list and a value of type %s", y.Type())
		}
		length := x.Len() + other.Len()
		if length > maxListElements {
			return problemf("make smaller lists", "a list has more than %d elements", maxListElements)
		}
		return run.compiler.budget.chargeMemory(length * valueBytes)
	}
	if isNumber(x) && isNumber(y) {
		return nil
	}
	return problemf("use numbers, strings or lists", "operator + does not support %s and %s", x.Type(), y.Type())
}

// format applies the % operator to a pattern; only scalars can be formatted.
func format(run *execution, pattern starlark.String, values starlark.Value) (starlark.Value, error) {
	length := len(pattern)
	operands, isTuple := values.(starlark.Tuple)
	if !isTuple {
		operands = starlark.Tuple{values}
	}
	for _, operand := range operands {
		if !isScalar(operand) {
			return nil, problemf("format strings and numbers only", "cannot format a value of type %s", operand.Type())
		}
		if text, ok := operand.(starlark.String); ok {
			length += len(text)
		}
	}
	if err := run.chargeString(length); err != nil {
		return nil, err
	}
	return starlark.Binary(syntax.PERCENT, pattern, values)
}

// makeTuple refuses a tuple within a tuple. Together with the bound on elements in
// restrict, this keeps hashing and freezing a tuple cheap.
func makeTuple(thread *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	for _, element := range args {
		if _, nested := element.(starlark.Tuple); nested {
			return nil, problemf("use a list for the inner one", "a tuple cannot contain a tuple")
		}
	}
	if err := executionOf(thread).compiler.budget.chargeMemory(len(args) * valueBytes); err != nil {
		return nil, err
	}
	return args, nil
}

// checkKey allows only strings and small numbers as keys and indexes, as these are
// cheap to hash.
func checkKey(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	switch key := args[0].(type) {
	case starlark.String:
		return key, nil
	case starlark.Int:
		if index, ok := key.Int64(); ok && index >= -maxIndex && index <= maxIndex {
			return key, nil
		}
	}
	return nil, problemf("use a string, or a number to index a list", "a key is neither a string nor a number between %d and %d", -maxIndex, maxIndex)
}

func isNumber(value starlark.Value) bool {
	switch value.(type) {
	case starlark.Int, starlark.Float:
		return true
	default:
		return false
	}
}

func isBool(value starlark.Value) bool {
	_, ok := value.(starlark.Bool)
	return ok
}

func isScalar(value starlark.Value) bool {
	_, isString := value.(starlark.String)
	return isString || isNumber(value) || isBool(value) || value == starlark.None
}

// checkNumber refuses integers that do not fit in 64 bits, so that numbers
// cannot grow without bound.
func checkNumber(value starlark.Value, err error) (starlark.Value, error) {
	if err != nil {
		return nil, err
	}
	if number, ok := value.(starlark.Int); ok {
		if _, fits := number.Int64(); !fits {
			return nil, problemf("use smaller numbers", "a number has more than 64 bits")
		}
	}
	return value, nil
}

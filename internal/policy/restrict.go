package policy

import (
	"fmt"
	"math/big"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Limits on the source text of a program.
const (
	// maxDepth bounds the nesting of expressions and statements.
	maxDepth = 64
	// maxFunctionNodes bounds the syntax nodes of one function, and so the memory
	// that a call of it takes.
	maxFunctionNodes = 1000
	// maxStringBytes bounds each string, also those built at run time.
	maxStringBytes = 1024
)

// restrict refuses syntax outside the language of policies and replaces operators by
// calls of guards (operators.go). Each step of the remaining language takes a bounded
// amount of memory and work, except in guards and builtins, which charge it to the
// budget.
func restrict(file *syntax.File) error {
	restricter := &restricter{}
	restricter.statements(file.Stmts, scopeFile)
	return restricter.fault
}

// restricter walks the syntax tree. It keeps the first fault; after that, the rest
// of the walk has no effect.
type restricter struct {
	fault error
	depth int
	// syntaxNodes counts the syntax nodes that were visited.
	syntaxNodes int
}

// scope is the kind of block that contains a statement.
type scope uint8

const (
	scopeFile scope = iota
	scopeBlock
	scopeFunction
)

func (r *restricter) refuse(position syntax.Position, hint, format string, arguments ...any) {
	if r.fault != nil {
		return
	}
	r.fault = &positionedProblem{problem: problem{text: fmt.Sprintf(format, arguments...), hint: hint}, position: position}
}

// enter counts one level of nesting and one node, and reports whether to visit it.
func (r *restricter) enter(node syntax.Node) bool {
	r.depth++
	r.syntaxNodes++
	if r.depth > maxDepth {
		r.refuse(syntax.Start(node), "use variables or functions for the inner parts", "this is nested more than %d levels deep", maxDepth)
	}
	return r.fault == nil
}

func (r *restricter) leave() { r.depth-- }

func (r *restricter) statements(statements []syntax.Stmt, within scope) {
	for _, statement := range statements {
		r.statement(statement, within)
	}
}

func (r *restricter) statement(statement syntax.Stmt, within scope) {
	defer r.leave()
	if !r.enter(statement) {
		return
	}
	inner := max(within, scopeBlock)
	switch statement := statement.(type) {
	case *syntax.AssignStmt:
		r.assignment(statement)
	case *syntax.BranchStmt:
	case *syntax.DefStmt:
		r.function(statement, within)
	case *syntax.ExprStmt:
		statement.X = r.expression(statement.X)
	case *syntax.ForStmt:
		r.target(statement.Vars)
		statement.X = r.expression(statement.X)
		r.statements(statement.Body, inner)
	case *syntax.IfStmt:
		statement.Cond = r.expression(statement.Cond)
		r.statements(statement.True, inner)
		r.statements(statement.False, inner)
	case *syntax.ReturnStmt:
		if statement.Result != nil {
			statement.Result = r.expression(statement.Result)
		}
	case *syntax.LoadStmt:
		r.refuse(statement.Load, "copy what you need into this policy", "a policy cannot load other files")
	case *syntax.WhileStmt:
		r.refuse(statement.While, "use a for loop over a list or range()", "policies do not support while loops")
	default:
		r.refuse(syntax.Start(statement), "see "+referencePage, "policies do not support this statement")
	}
}

func (r *restricter) assignment(statement *syntax.AssignStmt) {
	if statement.Op != syntax.EQ {
		r.refuse(statement.OpPos, "write it out, such as x = x + 1", "policies do not support operator %s", statement.Op)
		return
	}
	r.target(statement.LHS)
	statement.RHS = r.expression(statement.RHS)
}

// target checks the target of an assignment.
func (r *restricter) target(target syntax.Expr) {
	defer r.leave()
	if !r.enter(target) {
		return
	}
	switch target := target.(type) {
	case *syntax.Ident:
		r.name(target)
	case *syntax.IndexExpr:
		target.X = r.expression(target.X)
		target.Y = r.guardKey(target.Y)
	case *syntax.ParenExpr:
		r.target(target.X)
	case *syntax.TupleExpr:
		r.assignmentTargets(target.List)
	case *syntax.ListExpr:
		r.assignmentTargets(target.List)
	default:
		r.refuse(syntax.Start(target), "assign to a name", "cannot assign to this expression")
	}
}

// assignmentTargets checks the targets of an assignment.
func (r *restricter) assignmentTargets(targets []syntax.Expr) {
	for _, target := range targets {
		r.target(target)
	}
}

// function checks a function definition. Functions are allowed only at the top level
// and with plain parameters, so that there are no closures and the text bounds the
// number of functions.
func (r *restricter) function(function *syntax.DefStmt, within scope) {
	if within != scopeFile {
		r.refuse(function.Def, "move it to the top level", "a function is defined inside another statement")
		return
	}
	r.name(function.Name)
	before := r.syntaxNodes
	for _, parameter := range function.Params {
		r.parameter(parameter)
	}
	r.statements(function.Body, scopeFunction)
	if r.syntaxNodes-before > maxFunctionNodes {
		r.refuse(function.Def, "split it", "function %s is longer than %d expressions", function.Name.Name, maxFunctionNodes)
	}
}

func (r *restricter) parameter(parameter syntax.Expr) {
	r.syntaxNodes++
	switch parameter := parameter.(type) {
	case *syntax.Ident:
		r.name(parameter)
		return
	case *syntax.BinaryExpr:
		name, named := parameter.X.(*syntax.Ident)
		value, literal := parameter.Y.(*syntax.Literal)
		if named && literal {
			r.name(name)
			r.literal(value)
			return
		}
		if constant, ok := parameter.Y.(*syntax.Ident); named && ok && isConstant(constant.Name) {
			r.name(name)
			return
		}
	}
	r.refuse(syntax.Start(parameter), "use plain parameters with literals as defaults", "policies do not support this kind of parameter")
}

func isConstant(name string) bool {
	return name == "None" || name == "True" || name == "False"
}

// name refuses predeclared names of Starlark that policies do not support.
func (r *restricter) name(identifier *syntax.Ident) {
	if starlark.Universe.Has(identifier.Name) && !predeclared.Has(identifier.Name) && !isConstant(identifier.Name) {
		r.refuse(identifier.NamePos, "the names a policy can use are in "+referencePage, "policies cannot use the name %s", identifier.Name)
	}
}

func (r *restricter) literal(literal *syntax.Literal) {
	switch value := literal.Value.(type) {
	case string:
		if literal.Token == syntax.BYTES {
			r.refuse(literal.TokenPos, "write it without the b", "policies do not support byte strings")
		}
		if len(value) > maxStringBytes {
			r.refuse(literal.TokenPos, "shorten it", "a string has more than %d bytes", maxStringBytes)
		}
	case *big.Int:
		r.refuse(literal.TokenPos, "use a smaller number", "a number has more than 64 bits")
	}
}

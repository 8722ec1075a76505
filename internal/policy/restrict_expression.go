package policy

import "go.starlark.net/syntax"

// allowedMethods are the methods of strings, lists and dicts that policies may
// call. The work and memory of each are bounded.
var allowedMethods = map[string]bool{
	"append":     true,
	"endswith":   true,
	"get":        true,
	"startswith": true,
}

// expression checks an expression and returns its replacement.
func (r *restricter) expression(expression syntax.Expr) syntax.Expr {
	defer r.leave()
	if !r.enter(expression) {
		return expression
	}
	switch expression := expression.(type) {
	case *syntax.Ident:
		r.name(expression)
	case *syntax.Literal:
		r.literal(expression)
	case *syntax.ParenExpr:
		expression.X = r.expression(expression.X)
	case *syntax.BinaryExpr:
		return r.binary(expression)
	case *syntax.UnaryExpr:
		return r.unary(expression)
	case *syntax.CondExpr:
		expression.Cond = r.expression(expression.Cond)
		expression.True = r.expression(expression.True)
		expression.False = r.expression(expression.False)
	case *syntax.CallExpr:
		r.call(expression)
	case *syntax.DotExpr:
		r.method(expression)
	case *syntax.IndexExpr:
		expression.X = r.expression(expression.X)
		expression.Y = r.guardKey(expression.Y)
	default:
		return r.composite(expression)
	}
	return expression
}

// composite checks expressions that build containers, and refuses all others.
func (r *restricter) composite(expression syntax.Expr) syntax.Expr {
	switch expression := expression.(type) {
	case *syntax.ListExpr:
		r.expressions(expression.List)
	case *syntax.TupleExpr:
		if len(expression.List) > maxTupleElements {
			r.refuse(syntax.Start(expression), "use a list", "a tuple has more than %d elements", maxTupleElements)
		}
		r.expressions(expression.List)
		return guardedCall(guardTuple, syntax.Start(expression), expression.List...)
	case *syntax.DictExpr:
		for _, entry := range expression.List {
			r.entry(entry.(*syntax.DictEntry))
		}
	case *syntax.Comprehension:
		r.comprehension(expression)
	case *syntax.LambdaExpr:
		r.refuse(expression.Lambda, "define a function with def at the top level", "policies do not support lambda")
	case *syntax.SliceExpr:
		r.refuse(expression.Lbrack, "use single elements, or write the slice as a literal", "policies do not support slices")
	default:
		r.refuse(syntax.Start(expression), "see "+referencePage, "policies do not support this expression")
	}
	return expression
}

func (r *restricter) expressions(expressions []syntax.Expr) {
	for i := range expressions {
		expressions[i] = r.expression(expressions[i])
	}
}

func (r *restricter) entry(entry *syntax.DictEntry) {
	entry.Key = r.guardKey(entry.Key)
	entry.Value = r.expression(entry.Value)
}

// binary replaces an operator by a call of its guard, except "and" and "or", which
// may skip the right operand.
func (r *restricter) binary(expression *syntax.BinaryExpr) syntax.Expr {
	expression.X = r.expression(expression.X)
	expression.Y = r.expression(expression.Y)
	if expression.Op == syntax.AND || expression.Op == syntax.OR {
		return expression
	}
	if !guardedOperators[expression.Op] {
		r.refuse(expression.OpPos, "see the operators in "+referencePage, "policies do not support operator %s", expression.Op)
		return expression
	}
	return guardedCall(expression.Op.String(), expression.OpPos, expression.X, expression.Y)
}

func (r *restricter) unary(expression *syntax.UnaryExpr) syntax.Expr {
	if expression.X == nil || (expression.Op != syntax.NOT && expression.Op != syntax.MINUS) {
		r.refuse(expression.OpPos, "write the arguments one by one", "policies do not support operator %s here", expression.Op)
		return expression
	}
	expression.X = r.expression(expression.X)
	return expression
}

func (r *restricter) call(call *syntax.CallExpr) {
	call.Fn = r.expression(call.Fn)
	for i, argument := range call.Args {
		if named, ok := argument.(*syntax.BinaryExpr); ok && named.Op == syntax.EQ {
			named.Y = r.expression(named.Y)
			continue
		}
		call.Args[i] = r.expression(argument)
	}
}

func (r *restricter) method(expression *syntax.DotExpr) {
	expression.X = r.expression(expression.X)
	if !allowedMethods[expression.Name.Name] {
		r.refuse(expression.NamePos, "the methods a policy can use are in "+referencePage, "policies do not support method %s", expression.Name.Name)
	}
}

func (r *restricter) comprehension(comprehension *syntax.Comprehension) {
	for _, clause := range comprehension.Clauses {
		switch clause := clause.(type) {
		case *syntax.ForClause:
			r.target(clause.Vars)
			clause.X = r.expression(clause.X)
		case *syntax.IfClause:
			clause.Cond = r.expression(clause.Cond)
		}
	}
	if entry, ok := comprehension.Body.(*syntax.DictEntry); ok {
		r.entry(entry)
		return
	}
	comprehension.Body = r.expression(comprehension.Body)
}

// guardKey wraps the key of a dict or the index of a list in a call of its guard.
func (r *restricter) guardKey(key syntax.Expr) syntax.Expr {
	start := syntax.Start(key)
	return guardedCall(guardKey, start, r.expression(key))
}

// guardedCall returns a call of a guard, whose name no program can use itself. It has
// the position of the replaced syntax, for error messages.
func guardedCall(guard string, position syntax.Position, arguments ...syntax.Expr) syntax.Expr {
	return &syntax.CallExpr{
		Fn:     &syntax.Ident{NamePos: position, Name: guard},
		Lparen: position,
		Args:   arguments,
		Rparen: position,
	}
}

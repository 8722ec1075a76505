package policy

import (
	"errors"
	"fmt"
	"strings"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

const (
	// maxProblemBytes bounds the text of one error.
	maxProblemBytes = 500
	// maxShownErrors bounds the errors in the text of Errors.
	maxShownErrors = 10
	// maxShownConditions bounds the assumed results in the text of an Error.
	maxShownConditions = 4
	referencePage      = "docs/POLICIES.md"
)

// Error describes what is wrong with one policy, and where. It never contains the
// value of a secret, as programs cannot read one.
type Error struct {
	// File is the name of the policy; Line and Column start at 1.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Problem says what is wrong, Hint how to correct it.
	Problem string `json:"problem"`
	Hint    string `json:"hint"`
	// Assumed lists the results of conditions under which the problem occurs.
	Assumed []string `json:"assumed,omitempty"`
}

// Error returns "file:line:column: problem; hint".
func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Problem)
	if len(e.Assumed) > 0 {
		shown := e.Assumed[:min(len(e.Assumed), maxShownConditions)]
		text += " (when " + strings.Join(shown, " and ")
		if hidden := len(e.Assumed) - len(shown); hidden > 0 {
			text += fmt.Sprintf(" and %d more conditions", hidden)
		}
		text += ")"
	}
	return text + "; " + e.Hint
}

// Errors holds the errors of all policies that cannot be compiled. Find it with
// errors.As and a target of type *Errors.
type Errors struct {
	// Faults holds one Error for each faulty policy; it is never empty.
	Faults []*Error
}

// Error returns one line for each error.
func (e *Errors) Error() string {
	var lines []string
	for i, fault := range e.Faults {
		if i == maxShownErrors {
			lines = append(lines, fmt.Sprintf("and %d more faulty policies", len(e.Faults)-i))
			break
		}
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// problem is an error found by a builtin or a check, without its position.
type problem struct{ text, hint string }

// Error returns the text without the hint.
func (p *problem) Error() string { return p.text }

func problemf(hint, format string, arguments ...any) error {
	return &problem{text: fmt.Sprintf(format, arguments...), hint: hint}
}

// positionedProblem is a problem, with its position, found before the program ran.
type positionedProblem struct {
	problem
	position syntax.Position
}

// newError converts an error of the parser, the interpreter or a check to an Error.
func newError(file string, err error) *Error {
	fault := &Error{File: file, Line: 1, Column: 1, Problem: err.Error(), Hint: "see " + referencePage}
	var (
		syntaxError  syntax.Error
		resolveError resolve.ErrorList
		evalError    *starlark.EvalError
		checkError   *positionedProblem
		builtinError *problem
	)
	switch {
	case errors.As(err, &checkError):
		fault.setPosition(checkError.position)
		fault.Problem, fault.Hint = checkError.text, checkError.hint
	case errors.As(err, &syntaxError):
		fault.setPosition(syntaxError.Pos)
		fault.Problem = "syntax error: " + syntaxError.Msg
		fault.Hint = "correct this line; the grammar is Starlark's, see " + referencePage
	case errors.As(err, &resolveError):
		fault.setPosition(resolveError[0].Pos)
		fault.Problem = resolveError[0].Msg
		fault.Hint = "check the spelling; the names a policy can use are in " + referencePage
	case errors.As(err, &evalError):
		fault.setPosition(innermostPosition(evalError.CallStack))
		fault.Problem = evalError.Msg
	}
	if errors.As(err, &builtinError) {
		fault.Problem, fault.Hint = builtinError.text, builtinError.hint
	}
	fault.Problem = truncate(fault.Problem)
	return fault
}

func (e *Error) setPosition(position syntax.Position) {
	if !position.IsValid() {
		return
	}
	e.Line, e.Column = int(position.Line), max(1, int(position.Col))
}

// innermostPosition returns the innermost position within the program; builtins have
// no position.
func innermostPosition(stack starlark.CallStack) syntax.Position {
	for i := len(stack) - 1; i >= 0; i-- {
		if position := stack[i].Pos; position.Line > 0 {
			return position
		}
	}
	return syntax.Position{}
}

func truncate(text string) string {
	if len(text) <= maxProblemBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxProblemBytes], "") + "..."
}

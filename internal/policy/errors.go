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
	// maxShownAnswers bounds the assumed answers in the text of an Error.
	maxShownAnswers = 4
	referencePage   = "docs/POLICIES.md"
)

// Error is what is wrong with one policy, and where. It never holds the value of
// a secret, as programs cannot read one.
type Error struct {
	// File is the name of the policy; Line and Column start at 1.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Problem says what is wrong, Hint what to do next.
	Problem string `json:"problem"`
	Hint    string `json:"hint"`
	// Assumed lists the answers to conditions under which the problem shows.
	Assumed []string `json:"assumed,omitempty"`
}

// Error returns "file:line:column: problem; hint".
func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Problem)
	if len(e.Assumed) > 0 {
		shown := e.Assumed[:min(len(e.Assumed), maxShownAnswers)]
		text += " (when " + strings.Join(shown, " and ")
		if hidden := len(e.Assumed) - len(shown); hidden > 0 {
			text += fmt.Sprintf(" and %d more conditions", hidden)
		}
		text += ")"
	}
	return text + "; " + e.Hint
}

// Errors tells of each policy that cannot be compiled; errors.As finds *Errors.
type Errors struct {
	// Faults holds one Error for each policy at fault, at least one.
	Faults []*Error
}

// Error returns one line for each error.
func (e *Errors) Error() string {
	var lines []string
	for i, fault := range e.Faults {
		if i == maxShownErrors {
			lines = append(lines, fmt.Sprintf("and %d more policies at fault", len(e.Faults)-i))
			break
		}
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// problem is what a builtin or a check found wrong; the position is added later.
type problem struct{ text, hint string }

// Error returns the text without the hint.
func (p *problem) Error() string { return p.text }

func problemf(hint, format string, arguments ...any) error {
	return &problem{text: fmt.Sprintf(format, arguments...), hint: hint}
}

// positioned is a problem found before the program ran.
type positioned struct {
	problem
	position syntax.Position
}

// newError finds position, problem and hint in whatever the interpreter returned.
func newError(file string, err error) *Error {
	fault := &Error{File: file, Line: 1, Column: 1, Problem: err.Error(), Hint: "see " + referencePage}
	var (
		syntaxError  syntax.Error
		resolveError resolve.ErrorList
		evalError    *starlark.EvalError
		checkError   *positioned
		found        *problem
	)
	switch {
	case errors.As(err, &checkError):
		fault.place(checkError.position)
		fault.Problem, fault.Hint = checkError.text, checkError.hint
	case errors.As(err, &syntaxError):
		fault.place(syntaxError.Pos)
		fault.Problem = "syntax error: " + syntaxError.Msg
		fault.Hint = "correct this line; the grammar is Starlark's, see " + referencePage
	case errors.As(err, &resolveError):
		fault.place(resolveError[0].Pos)
		fault.Problem = resolveError[0].Msg
		fault.Hint = "check the spelling; the names a policy can use are in " + referencePage
	case errors.As(err, &evalError):
		fault.place(innermost(evalError.CallStack))
		fault.Problem = evalError.Msg
	}
	if errors.As(err, &found) {
		fault.Problem, fault.Hint = found.text, found.hint
	}
	fault.Problem = shorten(fault.Problem)
	return fault
}

func (e *Error) place(position syntax.Position) {
	if !position.IsValid() {
		return
	}
	e.Line, e.Column = int(position.Line), max(1, int(position.Col))
}

// innermost returns where the program was when the error arose, not the builtin.
func innermost(stack starlark.CallStack) syntax.Position {
	for i := len(stack) - 1; i >= 0; i-- {
		if position := stack[i].Pos; position.Line > 0 {
			return position
		}
	}
	return syntax.Position{}
}

func shorten(text string) string {
	if len(text) <= maxProblemBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxProblemBytes], "") + "..."
}

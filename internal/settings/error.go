package settings

import "fmt"

// Error is one fault in the settings, with the place where the operator mends it.
type Error struct {
	// File is the settings file, or empty when a flag carries the fault.
	File string
	// Line is the line in File, or 0 when the fault has no line.
	Line int
	// Key is the dotted key, or empty when the file as a whole is at fault.
	Key string
	// Problem says what is wrong and what to write instead.
	Problem string
}

// Error returns "file:line: key: problem", or "flag --key: problem".
func (e *Error) Error() string {
	place := ""
	switch {
	case e.File == "" && e.Key != "":
		return fmt.Sprintf("flag --%s: %s", e.Key, e.Problem)
	case e.Line > 0:
		place = fmt.Sprintf("%s:%d: ", e.File, e.Line)
	case e.File != "":
		place = e.File + ": "
	}
	if e.Key == "" {
		return place + e.Problem
	}
	return fmt.Sprintf("%s%s: %s", place, e.Key, e.Problem)
}

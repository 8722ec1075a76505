package settings

import "fmt"

// Error is one error in the settings and the place where the operator can fix it.
type Error struct {
	// File is the settings file, or empty when the error is in a flag.
	File string
	// Line is the line in File, or 0 when the error has no line.
	Line int
	// Key is the dotted key, or empty when the error concerns the whole file.
	Key string
	// Problem describes the error and what to write instead.
	Problem string
}

// Error returns "file:line: key: problem", or "flag --key: problem".
func (e *Error) Error() string {
	location := ""
	switch {
	case e.File == "" && e.Key != "":
		return fmt.Sprintf("flag --%s: %s", e.Key, e.Problem)
	case e.Line > 0:
		location = fmt.Sprintf("%s:%d: ", e.File, e.Line)
	case e.File != "":
		location = e.File + ": "
	}
	if e.Key == "" {
		return location + e.Problem
	}
	return fmt.Sprintf("%s%s: %s", location, e.Key, e.Problem)
}

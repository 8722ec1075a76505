package settings

import (
	"fmt"
	"os"
	"slices"
)

// Overrides are values from flags, by dotted key.
type Overrides map[string]string

// Origin tells where an effective value came from. The zero Origin is the
// default.
type Origin struct {
	// File and Line locate the value in a settings file.
	File string
	Line int
	// Flag is set when a flag gave the value.
	Flag bool
}

// String returns "default", "FILE:LINE" or "flag".
func (o Origin) String() string {
	switch {
	case o.Flag:
		return "flag"
	case o.File != "":
		return fmt.Sprintf("%s:%d", o.File, o.Line)
	default:
		return "default"
	}
}

// Loaded are checked settings and where each value came from.
type Loaded struct {
	Settings
	origins map[string]Origin
}

// Origin returns where the value of a dotted key came from.
func (l *Loaded) Origin(key string) Origin { return l.origins[key] }

// Load merges the defaults, the file at path (none when path is empty) and the
// flags, and checks the result. A fault in what an operator wrote is an *Error.
func Load(path string, flags Overrides) (*Loaded, error) {
	loaded := &Loaded{Settings: Defaults(), origins: map[string]Origin{}}
	reader := &fileReader{
		name:         path,
		fields:       newFieldIndex(),
		settings:     &loaded.Settings,
		origins:      loaded.origins,
		sectionLines: map[string]int{},
	}
	if path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, &Error{Problem: "cannot read the settings file: " + err.Error()}
		}
		if err := reader.read(text); err != nil {
			return nil, err
		}
	}
	if err := loaded.override(reader.fields, flags); err != nil {
		return nil, err
	}
	if fault := check(&loaded.Settings); fault != nil {
		reader.locate(fault)
		return nil, fault
	}
	return loaded, nil
}

func (l *Loaded) override(fields fieldIndex, flags Overrides) error {
	keys := make([]string, 0, len(flags))
	for key := range flags {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		field, known := fields.byKey[key]
		if !known {
			return &Error{Key: key, Problem: "unknown key"}
		}
		if err := field.set(&l.Settings, flags[key]); err != nil {
			return &Error{Key: key, Problem: err.Error()}
		}
		l.origins[key] = Origin{Flag: true}
	}
	return nil
}

// locate fills in where the operator mends a fault that the check found.
func (r *fileReader) locate(fault *Error) {
	origin := r.origins[fault.Key]
	if origin.Flag {
		return
	}
	fault.File, fault.Line = origin.File, origin.Line
	if origin.File == "" {
		fault.File = r.name
		fault.Line = r.sectionLines[r.fields.byKey[fault.Key].Section]
	}
}

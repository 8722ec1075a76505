package settings

import (
	"fmt"
	"os"
	"slices"
)

// Overrides are values set by flags, by dotted key.
type Overrides map[string]string

// Origin is where an effective value comes from. The zero Origin means the default.
type Origin struct {
	// File and Line locate the value in a settings file.
	File string
	Line int
	// Flag is set when the value comes from a flag.
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

// Loaded holds checked settings and the origin of each value.
type Loaded struct {
	Settings
	origins map[string]Origin
}

// Origin returns where the value of a dotted key comes from.
func (l *Loaded) Origin(key string) Origin { return l.origins[key] }

// Load merges the defaults, the file at path (none when path is empty) and the
// flags, and checks the result. Errors in what the operator wrote are *Error.
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
	if invalid := check(&loaded.Settings); invalid != nil {
		reader.locate(invalid)
		return nil, invalid
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

// locate sets the location at which the operator can fix an error found by check.
func (r *fileReader) locate(invalid *Error) {
	origin := r.origins[invalid.Key]
	if origin.Flag {
		return
	}
	invalid.File, invalid.Line = origin.File, origin.Line
	if origin.File == "" {
		invalid.File = r.name
		invalid.Line = r.sectionLines[r.fields.byKey[invalid.Key].Section]
	}
}

package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// fileReader fills settings from one YAML file.
type fileReader struct {
	name     string
	fields   fieldIndex
	settings *Settings
	origins  map[string]Origin
	// sectionLines holds the line at which each section starts, for errors about
	// keys missing from it.
	sectionLines map[string]int
}

func (r *fileReader) read(text []byte) error {
	root, err := r.parse(text)
	if err != nil || root == nil {
		return err
	}
	return r.eachEntry(root, "", r.readSection)
}

// parse returns the top-level mapping, or nil for an empty file.
func (r *fileReader) parse(text []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, r.syntaxError(err)
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, r.errorAt(second.Line, "", "more than one YAML document: keep one")
	}
	return document.Content[0], nil
}

var yamlErrorLine = regexp.MustCompile(`line (\d+): (.*)`)

// syntaxError converts an error of the YAML library, moving the line number from
// its text to Error.Line.
func (r *fileReader) syntaxError(err error) error {
	line := 0
	problem := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := yamlErrorLine.FindStringSubmatch(problem); match != nil {
		line, _ = strconv.Atoi(match[1])
		problem = match[2]
	}
	return r.errorAt(line, "", "invalid YAML near this line: "+problem)
}

func (r *fileReader) readSection(name string, key, value *yaml.Node) error {
	names, known := r.fields.names[name]
	if !known {
		return r.errorAt(key.Line, name, "unknown section; the sections are "+strings.Join(r.fields.sections, ", "))
	}
	r.sectionLines[name] = key.Line
	if value.Tag == "!!null" {
		return nil
	}
	return r.eachEntry(value, name, func(dotted string, key, value *yaml.Node) error {
		field, known := r.fields.byKey[dotted]
		if !known {
			return r.errorAt(key.Line, dotted, fmt.Sprintf("unknown key; the keys of %s are %s", name, strings.Join(names, ", ")))
		}
		return r.readField(field, value)
	})
}

func (r *fileReader) readField(field Field, value *yaml.Node) error {
	if value.Kind != yaml.ScalarNode {
		return r.errorAt(value.Line, field.Key, "expected one value, not a "+kindName(value.Kind))
	}
	text := value.Value
	if value.Tag == "!!null" {
		text = ""
	}
	if err := field.set(r.settings, text); err != nil {
		return r.errorAt(value.Line, field.Key, err.Error())
	}
	r.origins[field.Key] = Origin{File: r.name, Line: value.Line}
	return nil
}

// eachEntry calls visit with the dotted key, the key and the value of each entry of
// a mapping.
func (r *fileReader) eachEntry(mapping *yaml.Node, section string, visit func(dotted string, key, value *yaml.Node) error) error {
	if mapping.Kind != yaml.MappingNode {
		return r.errorAt(mapping.Line, section, "expected keys with values (key: value), not a "+kindName(mapping.Kind))
	}
	firstLines := map[string]int{}
	for i := 0; i < len(mapping.Content); i += 2 {
		key, value := mapping.Content[i], mapping.Content[i+1]
		dotted := key.Value
		if section != "" {
			dotted = section + "." + key.Value
		}
		if first, duplicate := firstLines[dotted]; duplicate {
			return r.errorAt(key.Line, dotted, fmt.Sprintf("duplicate key, first set in line %d: keep one", first))
		}
		firstLines[dotted] = key.Line
		if err := visit(dotted, key, value); err != nil {
			return err
		}
	}
	return nil
}

func (r *fileReader) errorAt(line int, key, problem string) *Error {
	return &Error{File: r.name, Line: line, Key: key, Problem: problem}
}

func kindName(kind yaml.Kind) string {
	switch kind {
	case yaml.SequenceNode:
		return "list"
	case yaml.MappingNode:
		return "section"
	case yaml.AliasNode:
		return "YAML alias"
	default:
		return "single value"
	}
}

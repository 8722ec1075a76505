package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// scope is the data that a template is filled from, innermost last.
type scope []any

// fill fills a settings template as DEPLOY.md describes it: values, values as JSON, sections for entries
// or for what is given, and inverted sections.
func fill(template string, data scope) (string, error) {
	var filled strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		filled.WriteString(before)
		if !found {
			return filled.String(), nil
		}
		tag, rest, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("a gap is not closed: %.20q", tag)
		}
		template = rest
		switch {
		case strings.HasPrefix(tag, "#"), strings.HasPrefix(tag, "^"):
			name := tag[1:]
			inner, after, ended := strings.Cut(rest, "{{/"+name+"}}")
			if !ended {
				return "", fmt.Errorf("the section %q is not closed", name)
			}
			template = after
			text, err := fillSection(inner, tag[0] == '^', data.find(name), data)
			if err != nil {
				return "", err
			}
			filled.WriteString(text)
		default:
			filled.WriteString(data.text(tag))
		}
	}
}

// entry is one entry of a list or table inside a section.
type entry struct {
	key   string
	value any
	last  bool
}

func fillSection(inner string, inverted bool, value any, data scope) (string, error) {
	isGiven := value != nil && value != false
	if inverted {
		if isGiven {
			return "", nil
		}
		return fill(inner, data)
	}
	if !isGiven {
		return "", nil
	}
	table, isTable := value.(map[string]any)
	if !isTable {
		return fill(inner, data)
	}
	var filled strings.Builder
	names := slices.Sorted(maps.Keys(table))
	for i, name := range names {
		text, err := fill(inner, append(slices.Clone(data), entry{key: name, value: table[name], last: i == len(names)-1}))
		if err != nil {
			return "", err
		}
		filled.WriteString(text)
	}
	return filled.String(), nil
}

// text returns the text of a gap.
func (s scope) text(tag string) string {
	innermost, inEntry := s[len(s)-1].(entry)
	name, asJSON := strings.CutSuffix(tag, "|json")
	switch {
	case tag == "@" && inEntry:
		return innermost.key
	case tag == "." && inEntry:
		return plain(innermost.value)
	case tag == "," && inEntry && innermost.last:
		return ""
	case tag == ",":
		return ","
	}
	value := s.find(name)
	if asJSON {
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}
	return plain(value)
}

func plain(value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case []any:
		texts := make([]string, len(value))
		for i := range value {
			texts[i] = plain(value[i])
		}
		return strings.Join(texts, ",")
	default:
		return fmt.Sprint(value)
	}
}

// find returns the value of a dotted name; nil: there is none. The number of an entry of a list is a name.
func (s scope) find(name string) any {
	for i := len(s) - 1; i >= 0; i-- {
		table, ok := s[i].(map[string]any)
		if !ok {
			continue
		}
		var value any = table
		for part := range strings.SplitSeq(name, ".") {
			value = member(value, part)
		}
		if value != nil {
			return value
		}
	}
	return nil
}

func member(value any, name string) any {
	switch value := value.(type) {
	case map[string]any:
		return value[name]
	case []any:
		for i := range value {
			if fmt.Sprint(i) == name {
				return value[i]
			}
		}
	}
	return nil
}

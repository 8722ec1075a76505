package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// The gaps of a template, in the forms that deploy/settings.yaml uses.
var (
	sectionGap = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	valueGap   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills a settings template as the platform does at each start of a process.
func render(template string, fields map[string]any) string {
	filled := sectionGap.ReplaceAllStringFunc(template, func(section string) string {
		match := sectionGap.FindStringSubmatch(section)
		return renderSection(match[2], lookup(fields, match[1]))
	})
	return valueGap.ReplaceAllStringFunc(filled, func(gap string) string {
		match := valueGap.FindStringSubmatch(gap)
		value := lookup(fields, match[1])
		if match[2] != "" {
			encoded, err := json.Marshal(value)
			if err != nil {
				panic(err)
			}
			return string(encoded)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// renderSection repeats the text for each entry of a table, or keeps it once for another value that is set.
func renderSection(text string, value any) string {
	table, isTable := value.(map[string]any)
	switch {
	case isTable:
		var entries []string
		for i, name := range slices.Sorted(maps.Keys(table)) {
			entry := strings.NewReplacer("{{@}}", name, "{{.}}", fmt.Sprint(table[name]))
			comma := ","
			if i == len(table)-1 {
				comma = ""
			}
			entries = append(entries, strings.ReplaceAll(entry.Replace(text), "{{,}}", comma))
		}
		return strings.Join(entries, "")
	case value == nil || value == false:
		return ""
	default:
		return text
	}
}

// lookup returns the value at a dotted path, or nil.
func lookup(value any, path string) any {
	for name := range strings.SplitSeq(path, ".") {
		switch container := value.(type) {
		case map[string]any:
			value = container[name]
		case []any:
			index, err := strconv.Atoi(name)
			if err != nil || index >= len(container) {
				return nil
			}
			value = container[index]
		default:
			return nil
		}
	}
	return value
}

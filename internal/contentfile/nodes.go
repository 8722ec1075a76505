package contentfile

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// fields are the keys that a mapping may have and what reads each value.
type fields map[string]func(node *yaml.Node) error

// mapping reads each key of a mapping once and refuses unknown ones.
func (r *reader) mapping(node *yaml.Node, known fields) error {
	if node.Kind != yaml.MappingNode {
		return r.fault(node, "want keys and values: %s", strings.Join(known.names(), ", "))
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		read, ok := known[key.Value]
		if !ok {
			return r.fault(key, "unknown key %q; the keys here are %s", key.Value, strings.Join(known.names(), ", "))
		}
		if seen[key.Value] {
			return r.fault(key, "key %q is there twice", key.Value)
		}
		seen[key.Value] = true
		if err := read(value); err != nil {
			return err
		}
	}
	return nil
}

func (f fields) names() []string {
	var names []string
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sequence reads each element of a list; an empty value is an empty list.
func (r *reader) sequence(node *yaml.Node, read func(node *yaml.Node) error) error {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		return r.fault(node, "want a list, each element after a dash")
	}
	for _, element := range node.Content {
		if err := read(element); err != nil {
			return err
		}
	}
	return nil
}

// scalar decodes a single value. The error does not show it, as it may be a
// secret.
func (r *reader) scalar(node *yaml.Node, into any, wanted string) error {
	if node.Kind != yaml.ScalarNode {
		return r.fault(node, "want %s", wanted)
	}
	if err := node.Decode(into); err != nil {
		return r.fault(node, "want %s", wanted)
	}
	return nil
}

package contentfile

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// fieldReaders holds the function that reads the value of each allowed key of a mapping.
type fieldReaders map[string]func(node *yaml.Node) error

// readMapping reads the values of a mapping. It rejects unknown and duplicate keys.
func (r *reader) readMapping(node *yaml.Node, known fieldReaders) error {
	if node.Kind != yaml.MappingNode {
		return r.errorAt(node, "expected a mapping with the keys %s", strings.Join(known.names(), ", "))
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		read, ok := known[key.Value]
		if !ok {
			return r.errorAt(key, "unknown key %q; allowed keys: %s", key.Value, strings.Join(known.names(), ", "))
		}
		if seen[key.Value] {
			return r.errorAt(key, "duplicate key %q", key.Value)
		}
		seen[key.Value] = true
		if err := read(value); err != nil {
			return err
		}
	}
	return nil
}

func (f fieldReaders) names() []string {
	var names []string
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// readSequence reads each element of a list; an empty value is an empty list.
func (r *reader) readSequence(node *yaml.Node, read func(node *yaml.Node) error) error {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		return r.errorAt(node, "expected a list, each element after a dash")
	}
	for _, element := range node.Content {
		if err := read(element); err != nil {
			return err
		}
	}
	return nil
}

// readScalar decodes a single value. The error does not include the value, which
// may be a secret.
func (r *reader) readScalar(node *yaml.Node, into any, expected string) error {
	if node.Kind != yaml.ScalarNode {
		return r.errorAt(node, "expected %s", expected)
	}
	if err := node.Decode(into); err != nil {
		return r.errorAt(node, "expected %s", expected)
	}
	return nil
}

// Package contentfile reads the content of a configuration from a YAML file and
// the policy files that it names, for `winchhead check`, the examples and the
// emulated platform. Nodes never read content files at run time.
//
// A content file looks like this; the revision is optional and defaults to 1:
//
//	revision: 1
//	services:
//	  - name: reservas
//	    slots: 20
//	    connections: 130
//	policies:
//	  - policies/reservas.star   # relative to the content file
//	secrets:
//	  - name: reservas-key
//	    value: a throwaway value
package contentfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxFileBytes limits the size of the content file, without its policies.
const maxFileBytes = 1 << 20

// Error describes a problem in a content file and where it is.
type Error struct {
	File string
	// Line starts at 1; it is 0 when the problem concerns the whole file.
	Line    int
	Problem string
}

// Error returns "file:line: problem".
func (e *Error) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Problem
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
}

// LoadContent reads the content file at path and its policies, and validates the
// result with snapshot.NewDocument. It does not check whether the policies compile.
// The error is an *Error.
func LoadContent(path string) (snapshot.Content, error) {
	text, err := readBounded(path, maxFileBytes)
	if err != nil {
		return snapshot.Content{}, &Error{File: path, Problem: err.Error()}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return snapshot.Content{}, syntaxError(path, err)
	}
	if len(root.Content) == 0 {
		return snapshot.Content{}, &Error{File: path, Line: 1, Problem: "the file is empty; expected services: and policies:"}
	}
	reader := &reader{file: path, content: snapshot.Content{Revision: 1}, lines: map[snapshot.Key]int{}}
	if err := reader.readDocument(root.Content[0]); err != nil {
		return snapshot.Content{}, err
	}
	if err := snapshot.CheckServiceNames(reader.content.Services); err != nil {
		return snapshot.Content{}, &Error{File: path, Problem: err.Error()}
	}
	if _, err := snapshot.NewDocument(reader.content); err != nil {
		return snapshot.Content{}, &Error{File: path, Problem: err.Error()}
	}
	return reader.content, nil
}

// readBounded reads a file of at most limit bytes.
func readBounded(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		var pathError *os.PathError
		if errors.As(err, &pathError) {
			err = pathError.Err
		}
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("has more than %d bytes", limit)
	}
	return text, nil
}

// yamlLine finds the line number in an error message of the YAML library.
var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

func syntaxError(path string, err error) *Error {
	parsed := &Error{File: path, Problem: err.Error()}
	if found := yamlLine.FindStringSubmatch(err.Error()); found != nil {
		parsed.Line, _ = strconv.Atoi(found[1])
		parsed.Problem = "invalid YAML: " + found[2]
	}
	return parsed
}

// reader parses one content file.
type reader struct {
	file    string
	content snapshot.Content
	// lines holds the line in which each resource was defined.
	lines map[snapshot.Key]int
}

func (r *reader) errorAt(node *yaml.Node, format string, arguments ...any) error {
	return &Error{File: r.file, Line: node.Line, Problem: fmt.Sprintf(format, arguments...)}
}

func (r *reader) readDocument(node *yaml.Node) error {
	return r.readMapping(node, fieldReaders{
		"revision": r.readRevision,
		"services": func(node *yaml.Node) error { return r.readSequence(node, r.readService) },
		"policies": func(node *yaml.Node) error { return r.readSequence(node, r.readPolicy) },
		"secrets":  func(node *yaml.Node) error { return r.readSequence(node, r.readSecret) },
	})
}

func (r *reader) readRevision(node *yaml.Node) error {
	var revision uint64
	if err := r.readScalar(node, &revision, "a number of at least 1"); err != nil {
		return err
	}
	if revision == 0 {
		return r.errorAt(node, "revision is 0; revisions start at 1")
	}
	r.content.Revision = snapshot.Revision(revision)
	return nil
}

func (r *reader) readService(node *yaml.Node) error {
	var service snapshot.Service
	err := r.readMapping(node, fieldReaders{
		"name":        func(node *yaml.Node) error { return r.readScalar(node, &service.Name, "a string") },
		"slots":       func(node *yaml.Node) error { return r.readScalar(node, &service.Slots, "a number") },
		"connections": func(node *yaml.Node) error { return r.readScalar(node, &service.Connections, "a number") },
	})
	if err != nil {
		return err
	}
	r.content.Services = append(r.content.Services, service)
	return r.register(node, snapshot.Key{Kind: snapshot.KindService, Name: service.Name})
}

func (r *reader) readPolicy(node *yaml.Node) error {
	var name string
	if err := r.readScalar(node, &name, "a file name"); err != nil {
		return err
	}
	if !filepath.IsLocal(name) {
		return r.errorAt(node, "policy %q is not below the directory of the content file", name)
	}
	program, err := readBounded(filepath.Join(filepath.Dir(r.file), name), snapshot.MaxProgramBytes)
	if err != nil {
		return r.errorAt(node, "policy %q %s", name, err)
	}
	policy := snapshot.Policy{Name: filepath.Base(name), Program: string(program)}
	r.content.Policies = append(r.content.Policies, policy)
	return r.register(node, snapshot.Key{Kind: snapshot.KindPolicy, Name: policy.Name})
}

func (r *reader) readSecret(node *yaml.Node) error {
	var secret snapshot.Secret
	err := r.readMapping(node, fieldReaders{
		"name":  func(node *yaml.Node) error { return r.readScalar(node, &secret.Name, "a string") },
		"value": func(node *yaml.Node) error { return r.readScalar(node, &secret.Value, "a string") },
	})
	if err != nil {
		return err
	}
	r.content.Secrets = append(r.content.Secrets, secret)
	return r.register(node, snapshot.Key{Kind: snapshot.KindSecret, Name: secret.Name})
}

// register records a resource. It rejects one without a name and a duplicate.
func (r *reader) register(node *yaml.Node, key snapshot.Key) error {
	if key.Name == "" {
		return r.errorAt(node, "this %s has no name", key.Kind)
	}
	if line, exists := r.lines[key]; exists {
		return r.errorAt(node, "%s is already defined in line %d", key, line)
	}
	r.lines[key] = node.Line
	return nil
}

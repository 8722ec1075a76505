// Package contentfile reads the content of a configuration from a YAML file and
// the policy files that it names, for `winchhead check`, the examples and the
// emulated platform. The product never reads it at run time.
//
// A content file looks like this; revision may be left out and is then 1:
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

// maxFileBytes bounds the content file itself.
const maxFileBytes = 1 << 20

// Error is what is wrong with a content file, and where.
type Error struct {
	File string
	// Line starts at 1; it is 0 when the fault concerns the whole file.
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

// LoadContent reads the content file at path and its policies. The result passes
// snapshot.NewDocument; whether its policies compile is not checked. The error is
// an *Error.
func LoadContent(path string) (snapshot.Content, error) {
	text, err := readBounded(path, maxFileBytes)
	if err != nil {
		return snapshot.Content{}, &Error{File: path, Problem: err.Error()}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return snapshot.Content{}, syntaxFault(path, err)
	}
	if len(root.Content) == 0 {
		return snapshot.Content{}, &Error{File: path, Line: 1, Problem: "the file is empty; it needs services: and policies:"}
	}
	reader := &reader{file: path, content: snapshot.Content{Revision: 1}, seen: map[snapshot.Key]int{}}
	if err := reader.document(root.Content[0]); err != nil {
		return snapshot.Content{}, err
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

// yamlLine finds the line in a message of the YAML library.
var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

func syntaxFault(path string, err error) *Error {
	fault := &Error{File: path, Problem: err.Error()}
	if found := yamlLine.FindStringSubmatch(err.Error()); found != nil {
		fault.Line, _ = strconv.Atoi(found[1])
		fault.Problem = "not YAML: " + found[2]
	}
	return fault
}

// reader collects the content of one file.
type reader struct {
	file    string
	content snapshot.Content
	// seen tells in which line a resource was named.
	seen map[snapshot.Key]int
}

func (r *reader) fault(node *yaml.Node, format string, arguments ...any) error {
	return &Error{File: r.file, Line: node.Line, Problem: fmt.Sprintf(format, arguments...)}
}

func (r *reader) document(node *yaml.Node) error {
	return r.mapping(node, fields{
		"revision": r.revision,
		"services": func(node *yaml.Node) error { return r.sequence(node, r.service) },
		"policies": func(node *yaml.Node) error { return r.sequence(node, r.policy) },
		"secrets":  func(node *yaml.Node) error { return r.sequence(node, r.secret) },
	})
}

func (r *reader) revision(node *yaml.Node) error {
	var revision uint64
	if err := r.scalar(node, &revision, "a number from 1"); err != nil {
		return err
	}
	if revision == 0 {
		return r.fault(node, "revision is 0; revisions start at 1")
	}
	r.content.Revision = snapshot.Revision(revision)
	return nil
}

func (r *reader) service(node *yaml.Node) error {
	var service snapshot.Service
	err := r.mapping(node, fields{
		"name":        func(node *yaml.Node) error { return r.scalar(node, &service.Name, "a string") },
		"slots":       func(node *yaml.Node) error { return r.scalar(node, &service.Slots, "a number") },
		"connections": func(node *yaml.Node) error { return r.scalar(node, &service.Connections, "a number") },
	})
	if err != nil {
		return err
	}
	r.content.Services = append(r.content.Services, service)
	return r.claim(node, snapshot.Key{Kind: snapshot.KindService, Name: service.Name})
}

func (r *reader) policy(node *yaml.Node) error {
	var name string
	if err := r.scalar(node, &name, "a file name"); err != nil {
		return err
	}
	if !filepath.IsLocal(name) {
		return r.fault(node, "policy %q is not below the directory of this file", name)
	}
	program, err := readBounded(filepath.Join(filepath.Dir(r.file), name), snapshot.MaxProgramBytes)
	if err != nil {
		return r.fault(node, "policy %q %s", name, err)
	}
	policy := snapshot.Policy{Name: filepath.Base(name), Program: string(program)}
	r.content.Policies = append(r.content.Policies, policy)
	return r.claim(node, snapshot.Key{Kind: snapshot.KindPolicy, Name: policy.Name})
}

func (r *reader) secret(node *yaml.Node) error {
	var secret snapshot.Secret
	err := r.mapping(node, fields{
		"name":  func(node *yaml.Node) error { return r.scalar(node, &secret.Name, "a string") },
		"value": func(node *yaml.Node) error { return r.scalar(node, &secret.Value, "a string") },
	})
	if err != nil {
		return err
	}
	r.content.Secrets = append(r.content.Secrets, secret)
	return r.claim(node, snapshot.Key{Kind: snapshot.KindSecret, Name: secret.Name})
}

// claim refuses a resource without a name and one that was named before.
func (r *reader) claim(node *yaml.Node, key snapshot.Key) error {
	if key.Name == "" {
		return r.fault(node, "this %s has no name:", key.Kind)
	}
	if line, taken := r.seen[key]; taken {
		return r.fault(node, "%s is already in line %d", key, line)
	}
	r.seen[key] = node.Line
	return nil
}

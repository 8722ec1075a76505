// Package deployment reads an example deployment from a directory: the settings
// file of each node and the initial content of the platform. It doesn't start
// anything.
//
// The directory contains settings/*.yaml, one file for each node, and content.yaml
// with the services, the secrets and the paths of the policy programs.
package deployment

import (
	"maps"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/contentfile"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// The files in the directory of a deployment.
const (
	settingsPattern = "settings/*.yaml"
	contentFile     = "content.yaml"
)

// Node is one node of a deployment.
type Node struct {
	settings.Settings
	// File is the path of the settings file, empty if there is none.
	File string
	// Overrides are the settings that differ from the file, by dotted key.
	Overrides settings.Overrides
}

// With returns the node with additional overrides, by dotted key.
func (n Node) With(overrides settings.Overrides) (Node, error) {
	merged := settings.Overrides{}
	maps.Copy(merged, n.Overrides)
	maps.Copy(merged, overrides)
	loaded, err := settings.Load(n.File, merged)
	if err != nil {
		return Node{}, eris.Wrapf(err, "load settings %s", n.File)
	}
	return Node{Settings: loaded.Settings, File: n.File, Overrides: merged}, nil
}

// Edge reports whether the node has no backend and takes requests from callers.
func (n Node) Edge() bool { return n.Inbound.Service == "" }

// Member returns the node's entry in the platform's membership list.
func (n Node) Member() membership.ListedMember {
	address := n.Peers.Advertise
	if address == "" {
		address = n.Peers.Listen
	}
	return membership.ListedMember{
		Node:        membership.NodeID(n.Node.Name),
		PeerAddress: address,
		Region:      n.Node.Region,
		Zone:        n.Node.Zone,
		Service:     n.Inbound.Service,
		State:       membership.ListedLive,
	}
}

// Deployment is a set of nodes and the initial content of the platform.
type Deployment struct {
	// Name is the name of the directory.
	Name    string
	Nodes   []Node
	Content snapshot.Content
}

// Load reads the deployment from a directory.
func Load(directory string) (*Deployment, error) {
	nodes, err := LoadNodes(filepath.Join(directory, settingsPattern))
	if err != nil {
		return nil, err
	}
	content, err := contentfile.LoadContent(filepath.Join(directory, contentFile))
	if err != nil {
		return nil, err
	}
	return &Deployment{Name: filepath.Base(directory), Nodes: nodes, Content: content}, nil
}

// LoadNodes reads the settings files that match a pattern of filepath.Glob.
func LoadNodes(pattern string) ([]Node, error) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		return nil, eris.Errorf("no settings files match %s", pattern)
	}
	nodes := make([]Node, 0, len(files))
	for _, file := range files {
		node, err := Node{File: file}.With(nil)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

// Members returns the entries of all nodes in the platform's membership list.
func (d *Deployment) Members() []membership.ListedMember {
	members := make([]membership.ListedMember, 0, len(d.Nodes))
	for _, node := range d.Nodes {
		members = append(members, node.Member())
	}
	return members
}

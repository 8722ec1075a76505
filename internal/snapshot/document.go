package snapshot

// Service is a named set of back-end instances that routes may point at.
type Service struct {
	// Name is unique within a document.
	Name string `json:"name"`
	// Slots bounds the requests one instance runs at once. Zero leaves the
	// bound to the settings of the node beside the instance.
	Slots int `json:"slots,omitempty"`
	// Connections bounds the connections one instance has open at once. Zero
	// leaves the bound to the settings of the node beside the instance.
	Connections int `json:"connections,omitempty"`
}

// Policy is one program, as an operator submitted it to the platform.
type Policy struct {
	// Name is unique within a document and is the file name in error messages.
	Name string `json:"name"`
	// Program is the Starlark text.
	Program string `json:"program"`
}

// Secret is a named value that routes attach to requests. Its value must not
// reach a log, an error, a metric or the operators' HTTP.
type Secret struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// String hides the value, so that a formatted Secret never shows it.
func (s Secret) String() string { return "secret " + s.Name }

// GoString hides the value from the %#v verb.
func (s Secret) GoString() string { return s.String() }

// Content is what one revision holds, before it is checked.
type Content struct {
	Revision Revision  `json:"revision"`
	Services []Service `json:"services"`
	Policies []Policy  `json:"policies"`
	Secrets  []Secret  `json:"secrets"`
}

// Kind tells the type of a Resource.
type Kind uint8

// The kinds of resource a document holds.
const (
	KindService Kind = 1
	KindPolicy  Kind = 2
	KindSecret  Kind = 3
)

// Key names one resource of a document.
type Key struct {
	Kind Kind
	Name string
}

// Resource is one service, policy or secret in its encoded form. Body is the
// canonical JSON encoding and must not be changed once it is in a Document.
type Resource struct {
	Key  Key
	Body []byte
}

// Document is one published revision: an immutable, sorted set of resources
// and the version that names it. Build it with NewDocument or Delta.Apply.
type Document struct {
	version   Version
	content   Content
	resources []Resource // sorted by kind, then name
}

// Version returns the version that names the document.
func (d *Document) Version() Version { return d.version }

// Content returns the decoded resources, sorted by name. The caller must not
// change what the slices hold.
func (d *Document) Content() Content { return d.content }

// Resources returns the encoded resources sorted by kind, then name. The caller
// must not change them.
func (d *Document) Resources() []Resource { return d.resources }

// Delta is the difference between two documents. With a zero Base it carries a
// whole document.
type Delta struct {
	Base    Version
	Target  Version
	Changed []Resource
	Removed []Key
}

// Contract of the functions beside this type (document.go, delta.go):
//
//	func NewDocument(content Content) (*Document, error)
//	    checks names, sizes and duplicates and computes the version.
//	func Diff(base, target *Document) Delta
//	    base may be nil: the result then carries all of target.
//	func (d Delta) Apply(base *Document) (*Document, error)
//	    base may be nil when d.Base is zero. Verifies that the result has
//	    exactly the version d.Target and otherwise returns an error and no document.

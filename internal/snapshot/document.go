package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/rotisserie/eris"
)

// Service is a named set of backend instances that routes can target.
type Service struct {
	// Name is unique within a document.
	Name string `json:"name"`
	// Slots is the maximum number of concurrent requests of one instance. Zero leaves it to the
	// settings of the instance's sidecar.
	Slots int `json:"slots,omitempty"`
	// Connections is the maximum number of open connections of one instance. Zero leaves it to
	// the settings of the instance's sidecar.
	Connections int `json:"connections,omitempty"`
	// ColdRate is the maximum number of requests per second to an instance while it is cold
	// after its start. Zero means no limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// ColdMillis is how long an instance stays cold after its start.
	ColdMillis int64 `json:"cold_ms,omitempty"`
	// HealthPath is the path of the health check of an instance. Empty: there is none.
	HealthPath string `json:"health_path,omitempty"`
	// Fault says which parts of the operators' entry were not used; empty: all were.
	Fault string `json:"fault,omitempty"`
}

// Policy is a program that an operator submitted to the platform.
type Policy struct {
	// Name is unique within a document and is the file name in error messages.
	Name string `json:"name"`
	// Program is the Starlark source.
	Program string `json:"program"`
}

// Secret is a named value that routes attach to requests. Its value must not appear in a log, an
// error, a metric or a response of the admin API.
type Secret struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// String hides the value, so that a formatted Secret never shows it.
func (s Secret) String() string { return "secret " + s.Name }

// GoString hides the value from the %#v verb.
func (s Secret) GoString() string { return s.String() }

// Content is the content of one revision, before it is checked.
type Content struct {
	Revision Revision `json:"revision"`
	// Origin tells where Services, Routes and Limits come from.
	Origin   Origin    `json:"origin,omitzero"`
	Services []Service `json:"services"`
	Policies []Policy  `json:"policies"`
	Secrets  []Secret  `json:"secrets"`
	// Routes are declared as data, in addition to those that policies declare.
	Routes []TypedRoute `json:"routes,omitempty"`
	// Instances are the processes that run requests, as listed by the source.
	Instances []Instance `json:"instances,omitempty"`
	// Limits bound the connections of callers; nil leaves them to the settings.
	Limits *CallerLimits `json:"limits,omitempty"`
	// Evacuations name the zones whose instances receive no requests.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Tenants are the customers whose callers authenticate with API keys.
	Tenants []Tenant `json:"tenants,omitempty"`
}

// Kind is the type of a Resource.
type Kind uint8

// The kinds of resources in a document.
const (
	KindService Kind = 1
	KindPolicy  Kind = 2
	KindSecret  Kind = 3
	// KindRoute is a TypedRoute.
	KindRoute Kind = 4
	// KindInstance is an Instance.
	KindInstance Kind = 5
	// KindLimits is the single CallerLimits of a document.
	KindLimits Kind = 6
	// KindEvacuation is an Evacuation.
	KindEvacuation Kind = 7
	// KindTenant is a Tenant.
	KindTenant Kind = 8
)

// Key identifies a resource of a document.
type Key struct {
	Kind Kind
	Name string
}

// Resource is one resource of a document in encoded form. Body is the canonical JSON encoding and
// must not be changed once it is in a Document.
type Resource struct {
	Key  Key
	Body []byte
}

// Document is one published revision: an immutable, sorted set of resources and the version that
// identifies it. Build it with NewDocument or Delta.Apply.
type Document struct {
	version   Version
	content   Content
	resources []Resource // sorted by kind, then name
	digests   []resourceDigest
}

// Version returns the version that identifies the document.
func (d *Document) Version() Version { return d.version }

// Content returns the decoded resources, sorted by name. The caller must not modify the slices.
func (d *Document) Content() Content { return d.content }

// Resources returns the encoded resources sorted by kind, then name. The caller must not modify
// them.
func (d *Document) Resources() []Resource { return d.resources }

// Delta is the difference between two documents. With a zero Base it carries a whole document.
type Delta struct {
	Base    Version
	Target  Version
	Origin  Origin // that of the target
	Changed []Resource
	Removed []Key
}

// NewDocument checks the content and computes the version that identifies it. The order of the
// resources within each kind does not matter.
func NewDocument(content Content) (*Document, error) {
	resources, err := encodeContent(content)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(resources, compareResources)
	if err := checkResources(content.Revision, resources); err != nil {
		return nil, err
	}
	digests := digestsOf(resources)
	return &Document{
		version:   Version{Revision: content.Revision, Hash: hashDigests(digests)},
		content:   sortedContent(content),
		resources: resources,
		digests:   digests,
	}, nil
}

// WithFleet returns the document of another revision with other instances and evacuations. The
// other resources are reused without encoding them again.
func (d *Document) WithFleet(revision Revision, instances []Instance, evacuations []Evacuation) (*Document, error) {
	instancesStart, instancesEnd := d.span(KindInstance)
	evacuationsStart, evacuationsEnd := d.span(KindEvacuation)
	encodedInstances, err := encodeTyped(Content{Instances: instances}, nil)
	if err != nil {
		return nil, err
	}
	encodedEvacuations, err := encodeTyped(Content{Evacuations: evacuations}, nil)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(encodedInstances, compareResources)
	slices.SortFunc(encodedEvacuations, compareResources)
	resources := slices.Concat(d.resources[:instancesStart], encodedInstances,
		d.resources[instancesEnd:evacuationsStart], encodedEvacuations, d.resources[evacuationsEnd:])
	if err := checkResources(revision, resources); err != nil {
		return nil, err
	}
	digests := slices.Concat(d.digests[:instancesStart], digestsOf(encodedInstances),
		d.digests[instancesEnd:evacuationsStart], digestsOf(encodedEvacuations), d.digests[evacuationsEnd:])
	content := d.content
	content.Revision, content.Instances = revision, sortedByName(instances, instanceName)
	content.Evacuations = sortedByName(evacuations, evacuationName)
	return &Document{
		version:   Version{Revision: revision, Hash: hashDigests(digests)},
		content:   content,
		resources: resources,
		digests:   digests,
	}, nil
}

func encodeContent(content Content) ([]Resource, error) {
	count := len(content.Services) + len(content.Policies) + len(content.Secrets) + len(content.Routes) + len(content.Instances) + len(content.Evacuations) + len(content.Tenants) + 1
	resources := make([]Resource, 0, count)
	for _, service := range content.Services {
		resource, err := encodeChecked(KindService, service.Name, service, checkService)
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	for _, policy := range content.Policies {
		resource, err := encodeChecked(KindPolicy, policy.Name, policy, checkPolicy)
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	for _, secret := range content.Secrets {
		resource, err := encodeChecked(KindSecret, secret.Name, secret, checkSecret)
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	return encodeTyped(content, resources)
}

// encodeTyped appends the routes, instances, limits, evacuations and tenants of the content.
func encodeTyped(content Content, resources []Resource) ([]Resource, error) {
	for _, route := range content.Routes {
		resource, err := encodeChecked(KindRoute, route.Name, route, checkTypedRoute)
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	for _, instance := range content.Instances {
		resource, err := encodeChecked(KindInstance, instance.Name, instance, checkInstance)
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	if content.Limits != nil {
		resource, err := encodeChecked(KindLimits, limitsName, *content.Limits, checkCallerLimits)
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	for _, evacuation := range content.Evacuations {
		resource, err := encodeChecked(KindEvacuation, evacuation.Zone, evacuation, checkEvacuation)
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	for _, tenant := range content.Tenants {
		resource, err := encodeChecked(KindTenant, tenant.Name, tenant, checkTenant)
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	return resources, nil
}

// sortedContent returns a copy of the content with each list sorted by name.
func sortedContent(content Content) Content {
	return Content{
		Revision: content.Revision,
		Origin:   content.Origin,
		Services: sortedByName(content.Services, serviceName),
		Policies: sortedByName(content.Policies, policyName),
		Secrets:  sortedByName(content.Secrets, secretName),

		Routes:    sortedByName(content.Routes, typedRouteName),
		Instances: sortedByName(content.Instances, instanceName),
		Limits:    content.Limits,

		Evacuations: sortedByName(content.Evacuations, evacuationName),
		Tenants:     sortedByName(content.Tenants, tenantName),
	}
}

// checkResources checks the document as a whole: the revision, duplicates, the number of resources
// and the total size. The resources must be sorted.
func checkResources(revision Revision, resources []Resource) error {
	if revision == 0 {
		return eris.New("the revision is 0; revisions start at 1")
	}
	counts := map[Kind]int{}
	total := 0
	for i, resource := range resources {
		if i > 0 && resources[i-1].Key == resource.Key {
			return eris.Errorf("%s appears twice", resource.Key)
		}
		counts[resource.Key.Kind]++
		if maximum := maxResources(resource.Key.Kind); counts[resource.Key.Kind] > maximum {
			return eris.Errorf("more than %d resources of the kind %s", maximum, resource.Key.Kind)
		}
		total += len(resource.Key.Name) + len(resource.Body) + ResourceOverheadBytes
	}
	if total > MaxDocumentBytes {
		return eris.Errorf("the document has %d bytes, at most %d are allowed", total, MaxDocumentBytes)
	}
	return nil
}

// resourceDigest is the hash of one resource. Successive documents share maximum of them.
type resourceDigest [sha256.Size]byte

// digestOf hashes kind, name and body. The lengths of name and body are included, so that no two
// resources have the same input.
func digestOf(resource Resource) resourceDigest {
	input := make([]byte, 0, len(resource.Key.Name)+len(resource.Body)+3*binary.MaxVarintLen64)
	input = append(input, byte(resource.Key.Kind))
	input = binary.AppendUvarint(input, uint64(len(resource.Key.Name)))
	input = binary.AppendUvarint(input, uint64(len(resource.Body)))
	input = append(input, resource.Key.Name...)
	input = append(input, resource.Body...)
	return sha256.Sum256(input)
}

func digestsOf(resources []Resource) []resourceDigest {
	digests := make([]resourceDigest, len(resources))
	for i, resource := range resources {
		digests[i] = digestOf(resource)
	}
	return digests
}

// hashDigests returns the hash of a document from the digests of its sorted resources.
func hashDigests(digests []resourceDigest) ContentHash {
	digest := sha256.New()
	for i := range digests {
		digest.Write(digests[i][:])
	}
	var hash ContentHash
	copy(hash[:], digest.Sum(nil))
	return hash
}

// String returns only the version, as the content contains secrets.
func (d *Document) String() string { return "document " + d.version.String() }

// GoString hides the content from the %#v verb.
func (d *Document) GoString() string { return d.String() }

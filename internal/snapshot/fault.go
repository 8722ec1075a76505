package snapshot

import (
	"cmp"
	"slices"
	"strings"
	"unicode/utf8"
)

// Fault is a resource of the configuration in force of whose entry not all was used.
type Fault struct {
	Kind Kind
	Name string
	// Unusable is set if requests for the resource are refused.
	Unusable bool
	// Problem says what was not used.
	Problem string
}

// Faults returns the resources of whose entries not all was used, sorted by kind and name.
func (s *Snapshot) Faults() []Fault {
	var faults []Fault
	add := func(kind Kind, name string, unusable bool, problem string) {
		if problem != "" || unusable {
			faults = append(faults, Fault{Kind: kind, Name: name, Unusable: unusable, Problem: problem})
		}
	}
	for i := range s.routes {
		add(KindRoute, s.routes[i].Name, s.routes[i].Unusable, s.routes[i].Fault)
	}
	for name, service := range s.services {
		add(KindService, name, false, service.Fault)
	}
	for name, tenant := range s.tenants.byName {
		add(KindTenant, name, tenant.Unusable, tenant.Fault)
	}
	if s.fleet.limits != nil {
		add(KindLimits, limitsName, false, s.fleet.limits.Fault)
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	return faults
}

// maxFaultBytes bounds the description of what was not used of one resource.
const maxFaultBytes = 512

// AddFault appends a problem to the description of what was not used of a resource.
func AddFault(fault, problem string) string {
	switch {
	case fault == "":
		fault = problem
	case !strings.Contains(fault, problem):
		fault += "; " + problem
	}
	return truncate(fault, maxFaultBytes)
}

// truncate returns the start of the text, at most limit bytes of it, without splitting a character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}

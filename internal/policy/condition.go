package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Condition holds if at least AtLeast instances of Service are ready in Zone, or in
// all zones together if Zone is empty.
type Condition struct {
	Service string `json:"service"`
	Zone    string `json:"zone,omitempty"`
	AtLeast int    `json:"at_least"`
}

// String returns the condition as a call of ready() in a policy.
func (c Condition) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "ready(%q", c.Service)
	if c.Zone != "" {
		fmt.Fprintf(&text, ", zone=%q", c.Zone)
	}
	if c.AtLeast != 1 {
		fmt.Fprintf(&text, ", at_least=%d", c.AtLeast)
	}
	return text.String() + ")"
}

// HoldsIn reports whether the condition holds for the instances that fleet counts.
func (c Condition) HoldsIn(fleet FleetView) bool {
	return fleet.ReadyInstances(c.Service, c.Zone) >= c.AtLeast
}

// Evaluator gives the results of conditions. A condition must keep its result while
// a snapshot is built.
type Evaluator interface {
	// Holds reports whether the condition counts as true now.
	Holds(condition Condition) bool
}

// NewCountEvaluator returns an Evaluator that uses the instance counts of fleet.
func NewCountEvaluator(fleet FleetView) Evaluator { return countEvaluator{fleet: fleet} }

type countEvaluator struct{ fleet FleetView }

// Holds implements Evaluator.
func (c countEvaluator) Holds(condition Condition) bool { return condition.HoldsIn(c.fleet) }

// conditionResult is a condition and the result that ready() returned for it.
type conditionResult struct {
	condition Condition
	holds     bool
}

// String formats the result for Error.Assumed.
func (r conditionResult) String() string {
	if r.holds {
		return r.condition.String() + " is True"
	}
	return r.condition.String() + " is False"
}

func compareConditions(a, b Condition) int {
	return cmp.Or(
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Zone, b.Zone),
		cmp.Compare(a.AtLeast, b.AtLeast),
	)
}

func conditionsOf(programs []compiledProgram) []Condition {
	var conditions []Condition
	for _, program := range programs {
		for _, variant := range program.variants {
			for _, result := range variant.results {
				conditions = append(conditions, result.condition)
			}
		}
	}
	slices.SortFunc(conditions, compareConditions)
	return slices.Compact(conditions)
}

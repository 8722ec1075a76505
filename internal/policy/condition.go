package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Condition is one question that policies ask about the fleet: are at least
// AtLeast instances of Service ready in Zone, or in all zones when Zone is empty?
type Condition struct {
	Service string `json:"service"`
	Zone    string `json:"zone,omitempty"`
	AtLeast int    `json:"at_least"`
}

// String writes the condition as a policy does.
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

// HoldsIn reports whether the condition holds by the counts of fleet.
func (c Condition) HoldsIn(fleet FleetView) bool {
	return fleet.ReadyInstances(c.Service, c.Zone) >= c.AtLeast
}

// Evaluator answers conditions. While one snapshot is built, the same condition
// must get the same answer.
type Evaluator interface {
	// Holds tells whether the condition counts as true now.
	Holds(condition Condition) bool
}

// CountsOf returns an Evaluator that answers by the counts of fleet.
func CountsOf(fleet FleetView) Evaluator { return counts{fleet: fleet} }

type counts struct{ fleet FleetView }

// Holds implements Evaluator.
func (c counts) Holds(condition Condition) bool { return condition.HoldsIn(c.fleet) }

// answer is a condition and what a program was told.
type answer struct {
	condition Condition
	holds     bool
}

// String writes the answer as an assumption in an error message.
func (a answer) String() string {
	if a.holds {
		return a.condition.String() + " is True"
	}
	return a.condition.String() + " is False"
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
			for _, answered := range variant.answers {
				conditions = append(conditions, answered.condition)
			}
		}
	}
	slices.SortFunc(conditions, compareConditions)
	return slices.Compact(conditions)
}

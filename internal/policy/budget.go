package policy

import "go.starlark.net/starlark"

// budget is what the programs of one document may still use.
type budget struct {
	// steps is what is left before the run in progress.
	steps  uint64
	memory int
}

// The costs that are charged for values, in bytes. Each is an upper estimate.
const (
	valueBytes = 16
	routeBytes = 1024
)

const (
	// stringBytesPerStep is how much of a string one step may visit.
	stringBytesPerStep = 64
	// maxCompareDepth bounds the nesting of values that are compared.
	maxCompareDepth = 8
)

// chargeMemory takes bytes from the budget, or tells that it is used up.
func (b *budget) chargeMemory(bytes int) error {
	if bytes > b.memory {
		b.memory = 0
		return problemf("build smaller strings and lists, or fewer routes", "the policies use more than %d bytes of memory", MaxMemoryBytes)
	}
	b.memory -= bytes
	return nil
}

func errTooManySteps() error {
	return problemf("shorten the loops, or ask fewer conditions", "the policies take more than %d steps", MaxSteps)
}

// chargeSteps counts work that a builtin is about to do, or tells that the steps
// are used up. The interpreter counts its own steps in the same place.
func (r *execution) chargeSteps(steps int) error {
	r.thread.Steps += uint64(steps)
	if r.thread.Steps >= r.compiler.budget.steps {
		return errTooManySteps()
	}
	return nil
}

// chargeString checks the length of a string about to be built and charges it.
func (r *execution) chargeString(length int) error {
	if length > maxStringBytes {
		return problemf("shorten it", "a string has more than %d bytes", maxStringBytes)
	}
	return r.compiler.budget.chargeMemory(length)
}

// chargeTree charges one step for each value reachable from the values, and one
// for each stringBytesPerStep bytes of strings. A value that is reachable in
// several ways counts each time, as comparing visits it each time.
func (r *execution) chargeTree(values ...starlark.Value) error {
	for _, value := range values {
		if err := r.chargeValue(value, 0); err != nil {
			return err
		}
	}
	return nil
}

func (r *execution) chargeValue(value starlark.Value, depth int) error {
	if depth > maxCompareDepth {
		return problemf("compare the parts", "a value that is nested more than %d levels deep is compared", maxCompareDepth)
	}
	switch value := value.(type) {
	case starlark.String:
		return r.chargeSteps(1 + len(value)/stringBytesPerStep)
	case starlark.Tuple:
		return r.chargeElements(value, depth)
	case *starlark.List:
		return r.chargeElements(value, depth)
	case *starlark.Dict:
		return r.chargeDict(value, depth)
	default:
		return r.chargeSteps(1)
	}
}

func (r *execution) chargeElements(list starlark.Indexable, depth int) error {
	for i := range list.Len() {
		if err := r.chargeValue(list.Index(i), depth+1); err != nil {
			return err
		}
	}
	return r.chargeSteps(1)
}

func (r *execution) chargeDict(dict *starlark.Dict, depth int) error {
	for key, value := range dict.Entries() {
		if err := r.chargeValue(key, depth+1); err != nil {
			return err
		}
		if err := r.chargeValue(value, depth+1); err != nil {
			return err
		}
	}
	return r.chargeSteps(1)
}

package policy

import "go.starlark.net/starlark"

// budget is what remains of the limits that the programs of one document share.
type budget struct {
	// steps is the number left, not counting those of the run in progress.
	steps  uint64
	memory int
}

// Memory charged per value, in bytes; both are upper bounds.
const (
	valueBytes = 16
	routeBytes = 1024
)

const (
	// stringBytesPerStep is how many bytes of a string count as one step.
	stringBytesPerStep = 64
	// maxCompareDepth bounds the nesting of values that are compared.
	maxCompareDepth = 8
)

// chargeMemory deducts bytes from the budget and fails if it is exhausted.
func (b *budget) chargeMemory(bytes int) error {
	if bytes > b.memory {
		b.memory = 0
		return problemf("build smaller strings and lists, or fewer routes", "the policies use more than %d bytes of memory", MaxMemoryBytes)
	}
	b.memory -= bytes
	return nil
}

func errTooManySteps() error {
	return problemf("shorten the loops, or use fewer conditions", "the policies take more than %d steps", MaxSteps)
}

// chargeSteps counts the work that a builtin is about to do and fails if no steps
// are left. The interpreter counts its own steps in the same counter.
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

// chargeTraversal charges one step for each value reachable from the given ones,
// and one for each stringBytesPerStep bytes of strings. A value that is reachable
// on several paths counts for each, as a comparison visits it each time.
func (r *execution) chargeTraversal(values ...starlark.Value) error {
	for _, value := range values {
		if err := r.chargeValue(value, 0); err != nil {
			return err
		}
	}
	return nil
}

func (r *execution) chargeValue(value starlark.Value, depth int) error {
	if depth > maxCompareDepth {
		return problemf("compare the parts", "cannot compare a value nested more than %d levels deep", maxCompareDepth)
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

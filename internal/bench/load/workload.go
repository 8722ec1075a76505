package load

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Kind describes one kind of call in a workload.
type Kind struct {
	Method string `yaml:"method"`
	Host   string `yaml:"host"`
	Path   string `yaml:"path"`
	// Share is the relative frequency of the kind.
	Share int `yaml:"share"`
	// MayRepeat must match the route in the policy.
	MayRepeat   bool          `yaml:"may_repeat"`
	BodyBytes   int           `yaml:"body_bytes"`
	AnswerBytes int           `yaml:"answer_bytes"`
	Work        time.Duration `yaml:"work"`
	Timeout     time.Duration `yaml:"timeout"`
	// Chain lists the onward calls ("host/path").
	Chain []string `yaml:"chain"`
	// Keyed sends each call with its own Idempotency-Key.
	Keyed bool `yaml:"keyed"`
}

// Workload is a mix of kinds of calls.
type Workload struct {
	Calls []Kind `yaml:"calls"`
}

// LoadWorkload reads a workload from a YAML file.
func LoadWorkload(file string) (Workload, error) {
	var workload Workload
	text, err := os.ReadFile(file)
	if err != nil {
		return workload, eris.Wrap(err, "read workload")
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&workload); err != nil {
		return workload, eris.Wrapf(err, "workload %s", file)
	}
	for i, kind := range workload.Calls {
		if kind.Share < 1 || kind.Timeout <= 0 {
			return workload, eris.Errorf("workload %s: call %d needs a positive share and timeout", file, i+1)
		}
	}
	if len(workload.Calls) == 0 {
		return workload, eris.Errorf("workload %s has no calls", file)
	}
	return workload, nil
}

// Planner returns a planner that derives the kind of each call from the seed and its
// number, so that the same number gives the same call in every run. run is the prefix
// of the IDs.
func (w Workload) Planner(run string, seed uint64) Planner {
	total := 0
	for _, kind := range w.Calls {
		total += kind.Share
	}
	return func(number uint64) Call {
		draw := rand.New(rand.NewPCG(seed, number)).IntN(total)
		for _, kind := range w.Calls {
			if draw < kind.Share {
				return kind.call(fmt.Sprintf("%s-%d", run, number))
			}
			draw -= kind.Share
		}
		panic("the draw exceeds the sum of all shares")
	}
}

func (k Kind) call(id string) Call {
	call := Call{
		ID: id, Method: k.Method, Host: k.Host, Path: k.Path, MayRepeat: k.MayRepeat,
		BodyBytes: k.BodyBytes, AnswerBytes: k.AnswerBytes, Work: k.Work, Timeout: k.Timeout, Chain: k.Chain,
	}
	if k.Keyed {
		call.IdempotencyKey = id
	}
	return call
}

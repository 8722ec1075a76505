// Package instanceload holds what instances state about their load in their answers, and which of
// the requests that were given up an instance still works on according to that. The load changes
// many times per second and is used only by the sidecar of the instance.
package instanceload

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// Load is the load that one answer states.
type Load struct {
	// Running and Waiting are the numbers of the instance's requests, Slots is that of its slots.
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes at the moment, in percent of the usual time of the
	// instance; zero: not stated.
	SlowdownPercent int
}

const (
	// countFields is the number of figures that all instances state, slowdownFields that of
	// instances that state how long work takes.
	countFields    = 3
	slowdownFields = 4
	maxDigits      = 6
	// Bounds of SlowdownPercent: beyond them the figure is an error rather than a speed.
	minSlowdownPercent, maxSlowdownPercent = 10, 10_000
)

// Decode returns the load that an answer states. stated is false if the answer has no load field.
func Decode(names message.Names, header http.Header) (load Load, stated bool, err error) {
	values := header[names.Load]
	if names.Load == "" || len(values) == 0 {
		return Load{}, false, nil
	}
	if len(values) > 1 {
		return Load{}, true, eris.Errorf("%s occurs %d times", names.Load, len(values))
	}
	load, err = parse(values[0])
	return load, true, eris.Wrap(err, names.Load)
}

func parse(text string) (Load, error) {
	fields := strings.Split(text, ",")
	if len(fields) != countFields && len(fields) != slowdownFields {
		return Load{}, eris.Errorf("%d figures, want %d or %d", len(fields), countFields, slowdownFields)
	}
	var figures [slowdownFields]int
	for i, field := range fields {
		figure, err := parseFigure(strings.Trim(field, " \t"))
		if err != nil {
			return Load{}, err
		}
		figures[i] = figure
	}
	load := Load{Running: figures[0], Waiting: figures[1], Slots: figures[2], SlowdownPercent: figures[3]}
	if load.Slots == 0 {
		return Load{}, eris.New("no slots")
	}
	if len(fields) == slowdownFields && (load.SlowdownPercent < minSlowdownPercent || load.SlowdownPercent > maxSlowdownPercent) {
		return Load{}, eris.Errorf("%d is not a slowdown in percent", load.SlowdownPercent)
	}
	return load, nil
}

// parseFigure parses an unsigned decimal number of at most maxDigits digits.
func parseFigure(text string) (int, error) {
	isDigit := func(character rune) bool { return character >= '0' && character <= '9' }
	if text == "" || len(text) > maxDigits || strings.TrimLeftFunc(text, isDigit) != "" {
		return 0, eris.Errorf("%.12q is not a number of at most %d digits", text, maxDigits)
	}
	return strconv.Atoi(text)
}

package instanceload_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/instanceload"
	"github.com/winchhead/winchhead/internal/dataplane/message"
)

var names = message.Names{Load: "Test-Load"}

// TestDecode checks that only well-formed figures count: a wrong one would take slots or scale expected times.
func TestDecode(t *testing.T) {
	for text, want := range map[string]instanceload.Load{
		"4,1,9":              {Running: 4, Waiting: 1, Slots: 9},
		"4,1,9,250":          {Running: 4, Waiting: 1, Slots: 9, SlowdownPercent: 250},
		"0,0,1,100":          {Slots: 1, SlowdownPercent: 100},
		" 4 , 1,\t9, 60":     {Running: 4, Waiting: 1, Slots: 9, SlowdownPercent: 60},
		"999999,0,999999,10": {Running: 999999, Slots: 999999, SlowdownPercent: 10},
		"004,0,09,0100":      {Running: 4, Slots: 9, SlowdownPercent: 100},
	} {
		t.Run(text, func(t *testing.T) {
			load, stated, err := instanceload.Decode(names, http.Header{"Test-Load": {text}})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, stated, qt.IsTrue)
			qt.Check(t, load, qt.Equals, want)
		})
	}
}

// TestDecodeMalformed checks that malformed figures yield an error and no load, rather than a part of it.
func TestDecodeMalformed(t *testing.T) {
	for name, values := range map[string][]string{
		"empty":             {""},
		"one figure":        {"4"},
		"two figures":       {"4,1"},
		"five figures":      {"4,1,9,100,3"},
		"missing figure":    {"4,,9,100"},
		"missing last":      {"4,1,9,"},
		"negative":          {"-4,1,9,100"},
		"sign":              {"+4,1,9,100"},
		"negative slowdown": {"4,1,9,-100"},
		"seven digits":      {"4,1,9,1000000"},
		"many digits":       {"4,1,99999999999999999999999999,100"},
		"fraction":          {"4,1,9,100.5"},
		"exponent":          {"4,1,9,1e2"},
		"word":              {"4,1,many,100"},
		"other digits":      {"4,1,٩,100"},
		"semicolons":        {"4;1;9;100"},
		"spaces within":     {"4,1,9,1 00"},
		"no slots":          {"4,1,0,100"},
		"no slowdown":       {"4,1,9,0"},
		"absurdly fast":     {"4,1,9,9"},
		"absurdly slow":     {"4,1,9,10001"},
		"two fields":        {"4,1,9,100", "4,1,9,100"},
	} {
		t.Run(name, func(t *testing.T) {
			load, stated, err := instanceload.Decode(names, http.Header{"Test-Load": values})
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, stated, qt.IsTrue)
			qt.Check(t, load, qt.Equals, instanceload.Load{})
		})
	}
}

// TestDecodeNothing checks that an answer without the field, and a platform without it, state no load.
func TestDecodeNothing(t *testing.T) {
	for name, row := range map[string]struct {
		names  message.Names
		header http.Header
	}{
		"no field":    {names, http.Header{"Other": {"4,1,9,100"}}},
		"no name":     {message.Names{}, http.Header{"": {"4,1,9,100"}}},
		"other field": {message.Names{Load: "Other"}, http.Header{"Test-Load": {"x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			load, stated, err := instanceload.Decode(row.names, row.header)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, stated, qt.IsFalse)
			qt.Check(t, load, qt.Equals, instanceload.Load{})
		})
	}
}

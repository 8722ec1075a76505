package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/wait"
)

func TestFor(t *testing.T) {
	cases := []struct {
		name     string
		duration time.Duration
		timeout  time.Duration // of the context
		elapsed  time.Duration
		err      error
	}{
		{name: "the duration ends first", duration: time.Second, timeout: time.Minute, elapsed: time.Second},
		{name: "the context ends first", duration: time.Minute, timeout: time.Second, elapsed: time.Second, err: context.DeadlineExceeded},
		{name: "zero duration", timeout: time.Second},
		{name: "negative duration", duration: -time.Second, timeout: time.Second},
		{name: "the context has ended", timeout: 0, err: context.DeadlineExceeded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				begin := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				c.Assert(wait.For(ctx, test.duration), qt.Equals, test.err)
				c.Assert(time.Since(begin), qt.Equals, test.elapsed)
			})
		})
	}
}

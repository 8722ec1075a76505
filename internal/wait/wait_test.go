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
		name   string
		span   time.Duration
		limit  time.Duration // of the context
		passes time.Duration
		err    error
	}{
		{name: "the span ends first", span: time.Second, limit: time.Minute, passes: time.Second},
		{name: "the context ends first", span: time.Minute, limit: time.Second, passes: time.Second, err: context.DeadlineExceeded},
		{name: "no span", limit: time.Second},
		{name: "a negative span", span: -time.Second, limit: time.Second},
		{name: "the context has ended", limit: 0, err: context.DeadlineExceeded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				begin := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), test.limit)
				defer cancel()
				c.Assert(wait.For(ctx, test.span), qt.Equals, test.err)
				c.Assert(time.Since(begin), qt.Equals, test.passes)
			})
		})
	}
}

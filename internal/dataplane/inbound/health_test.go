package inbound

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

var healthNames = message.Names{Instance: instance.HeaderInstance, ColdRemaining: instance.HeaderCold}

// TestDecodeHealth guards against a cold time that is malformed or absurd, and against an answer that belongs to
// another request: neither says that the instance is warm.
func TestDecodeHealth(t *testing.T) {
	header := func(fields ...string) http.Header {
		built := make(http.Header)
		for i := 0; i+1 < len(fields); i += 2 {
			built.Set(fields[i], fields[i+1])
		}
		return built
	}
	for name, row := range map[string]struct {
		header http.Header
		want   health
		fails  bool
	}{
		"warm":         {header: header(instance.HeaderInstance, "i-1"), want: health{instance: "i-1"}},
		"cold":         {header: header(instance.HeaderInstance, "i-1", instance.HeaderCold, "1500"), want: health{instance: "i-1", coldFor: 1500 * time.Millisecond}},
		"fraction":     {header: header(instance.HeaderInstance, "i-1", instance.HeaderCold, "0.5"), want: health{instance: "i-1", coldFor: 500 * time.Microsecond}},
		"zero":         {header: header(instance.HeaderInstance, "i-1", instance.HeaderCold, "0"), want: health{instance: "i-1"}},
		"no name":      {header: header(instance.HeaderCold, "1500"), fails: true},
		"negative":     {header: header(instance.HeaderInstance, "i-1", instance.HeaderCold, "-1"), fails: true},
		"not a number": {header: header(instance.HeaderInstance, "i-1", instance.HeaderCold, "soon"), fails: true},
		"NaN":          {header: header(instance.HeaderInstance, "i-1", instance.HeaderCold, "NaN"), fails: true},
		"absurd":       {header: header(instance.HeaderInstance, "i-1", instance.HeaderCold, "1e12"), fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			stated, err := decodeHealth(healthNames, row.header)
			qt.Check(t, err != nil, qt.Equals, row.fails)
			qt.Check(t, stated, qt.Equals, row.want)
		})
	}
}

// TestHealthChecker asks an emulated instance that is warm, cold, silent and gone, over one connection.
func TestHealthChecker(t *testing.T) {
	c := qt.New(t)
	emulated := &instance.Instance{Name: "i-1"}
	address, err := emulated.Start()
	c.Assert(err, qt.IsNil)
	c.Cleanup(emulated.Close)
	checker := newHealthChecker(healthNames, address)
	c.Cleanup(checker.close)
	ask := func() (health, error) { return checker.check(context.Background(), instance.HealthPath) }

	stated, err := ask()
	c.Assert(err, qt.IsNil)
	c.Check(stated, qt.Equals, health{instance: "i-1"})
	emulated.TurnCold(time.Hour)
	stated, err = ask()
	c.Assert(err, qt.IsNil)
	c.Check(stated.coldFor > time.Minute && stated.coldFor <= time.Hour, qt.IsTrue)
	c.Check(emulated.Accepted(), qt.Equals, 1)

	emulated.SilenceHealth(true)
	_, err = ask()
	c.Check(err, qt.IsNotNil)
	emulated.Close()
	_, err = ask()
	c.Check(err, qt.IsNotNil)
}

// TestMalformedHealthAnswers guards against an answer that violates the protocol and states the health of an instance.
func TestMalformedHealthAnswers(t *testing.T) {
	const ok, named, framed = "HTTP/1.1 200 OK\r\n", instance.HeaderInstance + ": i-1\r\n", "Content-Length: 0\r\n\r\n"
	for name, row := range map[string]struct {
		sent  string
		fails bool
	}{
		"proper":                   {ok + named + framed, false},
		"unhealthy":                {"HTTP/1.1 503 Service Unavailable\r\n" + named + framed, false},
		"status 000":               {"HTTP/1.1 000 Odd\r\n" + named + framed, true},
		"status 600":               {"HTTP/1.1 600 Odd\r\n" + named + framed, true},
		"a blank in a name":        {ok + named + "Foo Bar: x\r\n" + framed, true},
		"the cold time behind one": {ok + named + instance.HeaderCold + " : 1500\r\n" + framed, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			emulated := &instance.Instance{Name: "i-1", RawHealth: row.sent}
			address, err := emulated.Start()
			c.Assert(err, qt.IsNil)
			c.Cleanup(emulated.Close)
			checker := newHealthChecker(healthNames, address)
			c.Cleanup(checker.close)
			stated, err := checker.check(context.Background(), instance.HealthPath)
			c.Check(err != nil, qt.Equals, row.fails)
			c.Check(stated.instance == "i-1", qt.Equals, !row.fails)
		})
	}
}

package fleet

import (
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	near = endpoint{node: 1, Location: Location{Region: "a", Zone: "a1"}}
	far  = endpoint{node: 2, Location: Location{Region: "b", Zone: "b1"}}
)

const oneWay = 10 * time.Millisecond

// inVirtualTime gives test both ends of a delayed connection: the dialling one
// and the accepted one.
func inVirtualTime(t *testing.T, test func(c *qt.C, network *Network, dialled, accepted net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		socket, accepted := net.Pipe()
		network := NewNetwork(Delays{Region: oneWay})
		dialled := newDelayedConn(socket, network, near, far, network.delays.between(near.Location, far.Location))
		defer accepted.Close()
		defer dialled.Close()
		test(qt.New(t), network, dialled, accepted)
	})
}

// receives reads one message and returns when it came.
func receives(c *qt.C, from net.Conn, want string) time.Time {
	buffer := make([]byte, len(want))
	_, err := io.ReadFull(from, buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buffer), qt.Equals, want)
	return time.Now()
}

func TestBothDirectionsAreDelayed(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, _ *Network, dialled, accepted net.Conn) {
		began := time.Now()
		_, err := dialled.Write([]byte("there"))
		c.Assert(err, qt.IsNil)
		c.Assert(receives(c, accepted, "there").Sub(began), qt.Equals, oneWay)
		_, err = accepted.Write([]byte("back"))
		c.Assert(err, qt.IsNil)
		c.Assert(receives(c, dialled, "back").Sub(began), qt.Equals, 2*oneWay)
	})
}

func TestCutHoldsPacketsUntilItHeals(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, network *Network, dialled, accepted net.Conn) {
		const cutTime = time.Minute
		network.Partition(func(a, b endpoint) bool { return a.Region != b.Region })
		began := time.Now()
		_, err := dialled.Write([]byte("there"))
		c.Assert(err, qt.IsNil)
		dialled.Close()
		time.AfterFunc(cutTime, func() { network.Partition(nil) })
		c.Assert(receives(c, accepted, "there").Sub(began), qt.Equals, cutTime)
		_, err = accepted.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF, qt.Commentf("the end of the stream follows the data"))
	})
}

func TestEndOfStreamIsDelayed(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, _ *Network, dialled, accepted net.Conn) {
		began := time.Now()
		accepted.Close()
		_, err := dialled.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(time.Since(began), qt.Equals, oneWay)
	})
}

func TestDeadlinesCanBeMoved(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, _ *Network, dialled, accepted net.Conn) {
		began := time.Now()
		c.Assert(dialled.SetReadDeadline(began.Add(time.Second)), qt.IsNil)
		c.Assert(dialled.SetReadDeadline(began.Add(time.Minute)), qt.IsNil)
		_, err := dialled.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, os.ErrDeadlineExceeded)
		c.Assert(time.Since(began), qt.Equals, time.Minute)
		c.Assert(dialled.SetReadDeadline(time.Time{}), qt.IsNil)
		go func() { _, _ = accepted.Write([]byte("late")) }()
		receives(c, dialled, "late")
	})
}

func TestWritingBlocksWhileTooMuchIsUnderWay(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, network *Network, dialled, _ net.Conn) {
		network.Partition(func(endpoint, endpoint) bool { return true })
		defer network.Partition(nil)
		c.Assert(dialled.SetWriteDeadline(time.Now().Add(time.Second)), qt.IsNil)
		var err error
		for range 2 * queuedPackets {
			if _, err = dialled.Write([]byte("x")); err != nil {
				break
			}
		}
		c.Assert(err, qt.Equals, os.ErrDeadlineExceeded)
	})
}

func TestPausedProcessNeitherReadsNorWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const pause = 30 * time.Second
		inside, outside := net.Pipe()
		defer outside.Close()
		owner := newProcess()
		owned := owner.own(inside)
		owner.pause()
		began := time.Now()
		time.AfterFunc(pause, owner.resume)

		go func() { _, _ = owned.Write([]byte("out")) }()
		c.Assert(receives(c, outside, "out").Sub(began), qt.Equals, pause)
		owner.kill()
		_, err := outside.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF, qt.Commentf("a killed process drops its connections"))
		_, err = owner.own(inside).Write([]byte("x"))
		c.Assert(err, qt.Not(qt.IsNil), qt.Commentf("and has no new ones"))
	})
}

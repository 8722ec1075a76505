package fleet

import (
	"net"
	"os"
	"sync"
	"time"
)

const (
	// queuedPackets bounds the packets under way in one direction, after which
	// writing blocks.
	queuedPackets = 64
	// packetBytes is the most that one read takes from the socket.
	packetBytes = 16 << 10
)

// packet is data, or the end of the stream, on its way.
type packet struct {
	due  time.Time
	data []byte
	err  error
}

// delayedConn is the dialling end of a connection over the simulated network. It
// delays both directions and holds them up while the network is cut.
type delayedConn struct {
	net.Conn
	network  *Network
	from, to endpoint
	delay    time.Duration

	outgoing chan packet
	incoming chan packet
	current  packet // the rest of what Read took from incoming

	closeOnce sync.Once
	closed    chan struct{}

	readDeadline, writeDeadline deadline
}

func newDelayedConn(socket net.Conn, network *Network, from, to endpoint, delay time.Duration) *delayedConn {
	c := &delayedConn{
		Conn:     socket,
		network:  network,
		from:     from,
		to:       to,
		delay:    delay,
		outgoing: make(chan packet, queuedPackets),
		incoming: make(chan packet, queuedPackets),
		closed:   make(chan struct{}),
	}
	c.readDeadline.init()
	c.writeDeadline.init()
	go c.send()
	go c.receive()
	return c
}

// send writes packets to the socket when they are due. After Close it sends what
// is under way, and then the end of the stream.
func (c *delayedConn) send() {
	defer c.Conn.Close()
	for {
		select {
		case next := <-c.outgoing:
			if !c.deliver(next) {
				return
			}
		case <-c.closed:
			for {
				select {
				case next := <-c.outgoing:
					if !c.deliver(next) {
						return
					}
				default:
					return
				}
			}
		}
	}
}

func (c *delayedConn) deliver(next packet) bool {
	time.Sleep(time.Until(next.due))
	if !c.network.waitOpen(c.from, c.to, nil) {
		return false
	}
	_, err := c.Conn.Write(next.data)
	return err == nil
}

// receive takes packets from the socket and stamps them.
func (c *delayedConn) receive() {
	buffer := make([]byte, packetBytes)
	for {
		count, err := c.Conn.Read(buffer)
		arrived := packet{due: time.Now().Add(c.delay), err: err}
		arrived.data = append(arrived.data, buffer[:count]...)
		select {
		case c.incoming <- arrived:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read returns data that has been under way for the delay.
func (c *delayedConn) Read(b []byte) (int, error) {
	if err := c.fill(); err != nil {
		return 0, err
	}
	count := copy(b, c.current.data)
	c.current.data = c.current.data[count:]
	if count == 0 && c.current.err != nil {
		return 0, c.current.err
	}
	return count, nil
}

// fill waits until current holds data or the end of the stream.
func (c *delayedConn) fill() error {
	if len(c.current.data) > 0 || c.current.err != nil {
		return nil
	}
	expired := c.readDeadline.wait()
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	case next := <-c.incoming:
		// A deadline that passes within the delay is met late by that much.
		time.Sleep(time.Until(next.due))
		if !c.network.waitOpen(c.from, c.to, c.closed) {
			return net.ErrClosed
		}
		c.current = next
	}
	return nil
}

// Write queues data. It blocks while too many packets are under way.
func (c *delayedConn) Write(b []byte) (int, error) {
	next := packet{due: time.Now().Add(c.delay), data: append([]byte(nil), b...)}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.writeDeadline.wait():
		return 0, os.ErrDeadlineExceeded
	case c.outgoing <- next:
		return len(b), nil
	}
}

// Close ends this end at once and the other one after the delay, or when the
// network heals.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *delayedConn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

func (c *delayedConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

func (c *delayedConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// deadline closes a channel at a time that can be moved.
type deadline struct {
	mutex   sync.Mutex
	timer   *time.Timer
	moves   int
	expired chan struct{}
}

func (d *deadline) init() { d.expired = make(chan struct{}) }

// wait returns the channel that is closed when the deadline passes.
func (d *deadline) wait() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.expired
}

// set moves the deadline; the zero time removes it.
func (d *deadline) set(t time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.moves++
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	select {
	case <-d.expired:
		d.expired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	move := d.moves
	d.timer = time.AfterFunc(time.Until(t), func() { d.expire(move) })
}

// expire closes the channel unless the deadline was moved meanwhile.
func (d *deadline) expire(move int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.moves == move {
		close(d.expired)
	}
}

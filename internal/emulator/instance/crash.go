package instance

import (
	"net"
	"time"
)

// SetMostPerSecond changes MostPerSecond of an instance that runs.
func (i *Instance) SetMostPerSecond(most int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.MostPerSecond = most
}

// FellOver reports whether the instance got more requests than it bears.
func (i *Instance) FellOver() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.fellOver
}

// fallOver drops the connections when too many requests began in the last second. The
// mutex is held.
func (i *Instance) fallOver() {
	if i.MostPerSecond == 0 {
		return
	}
	recent := 0
	for at := len(i.runs) - 1; at >= 0 && time.Since(i.runs[at].Began) < time.Second; at-- {
		recent++
	}
	if recent <= i.MostPerSecond {
		return
	}
	i.fellOver = true
	i.drop()
}

// drop ends all connections and takes no more. The mutex is held.
func (i *Instance) drop() {
	_ = i.listener.Close()
	for conn := range i.conns {
		_ = conn.Close()
	}
}

// Crash ends the instance as a process that dies: nothing is answered any more.
func (i *Instance) Crash() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.down || i.closed {
		return
	}
	i.down = true
	i.crashes++
	i.drop()
	if i.Crashed != nil {
		i.Crashed()
	}
}

// Crashes returns how often the instance crashed.
func (i *Instance) Crashes() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.crashes
}

// Restart starts an instance that crashed again, under its name and address. It does
// nothing for one that serves or that was closed.
func (i *Instance) Restart() error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.down || i.closed {
		return nil
	}
	listener, err := net.Listen("tcp", i.listener.Addr().String())
	if err != nil {
		return err
	}
	i.listener, i.down = listener, false
	i.serving.Go(func() { i.accept(listener) })
	return nil
}

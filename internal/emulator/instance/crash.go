package instance

import (
	"net"
	"time"
)

// SetMaxPerSecond changes MaxPerSecond of a running instance.
func (i *Instance) SetMaxPerSecond(most int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.MaxPerSecond = most
}

// Overloaded reports whether the instance has failed because more than MaxPerSecond requests
// began within one second.
func (i *Instance) Overloaded() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.overloaded
}

// failIfOverloaded closes the listener and all connections if more than MaxPerSecond requests
// began in the last second. The mutex is held.
func (i *Instance) failIfOverloaded() {
	if i.MaxPerSecond == 0 {
		return
	}
	recent := 0
	for at := len(i.runs) - 1; at >= 0 && time.Since(i.runs[at].Began) < time.Second; at-- {
		recent++
	}
	if recent <= i.MaxPerSecond {
		return
	}
	i.overloaded = true
	i.closeNetwork()
}

// closeNetwork closes the listener and all connections. The mutex is held.
func (i *Instance) closeNetwork() {
	_ = i.listener.Close()
	for conn := range i.conns {
		_ = conn.Close()
	}
}

// Crash ends the instance like a process that dies: it closes the listener and all connections,
// and answers nothing more until Restart.
func (i *Instance) Crash() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.down || i.closed {
		return
	}
	i.down = true
	i.crashes++
	i.closeNetwork()
	if i.OnCrash != nil {
		i.OnCrash()
	}
}

// Crashes returns the number of crashes.
func (i *Instance) Crashes() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.crashes
}

// Restart starts a crashed instance again with the same name and address. It does nothing if
// the instance is running or was closed.
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
	i.serveGroup.Go(func() { i.accept(listener) })
	return nil
}

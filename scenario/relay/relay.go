// Package relay forwards TCP connections between the processes of a scenario, so that the network between two processes can be
// cut without changes to either.
package relay

import (
	"net"
	"sync"
)

// Gate is open or cut. While it is cut, bytes are held back but not lost, as on a network that drops packets and recovers.
type Gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
	cut  bool
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// Cut closes the gate: bytes are held back until Heal.
func (g *Gate) Cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cut {
		g.cut, g.open = true, make(chan struct{})
	}
}

// Heal opens the gate.
func (g *Gate) Heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		g.cut = false
		close(g.open)
	}
}

// Wait blocks until the gate is open and returns true, or until done is closed and returns false.
func (g *Gate) Wait(done <-chan struct{}) bool {
	for {
		g.mu.Lock()
		open, cut := g.open, g.cut
		g.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-open:
		case <-done:
			return false
		}
	}
}

// Relay listens on a loopback address and forwards every connection to a target through a gate.
type Relay struct {
	target   string
	gate     *Gate
	listener net.Listener
	done     chan struct{}
	tasks    sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New starts a relay. The cleanup function closes its listener and connections and waits for its goroutines.
func New(target string, g *Gate) (r *Relay, cleanup func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	r = &Relay{target: target, gate: g, listener: l, done: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.tasks.Go(r.accept)
	return r, sync.OnceFunc(r.close), nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

func (r *Relay) close() {
	close(r.done)
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.track(c) {
			r.tasks.Go(func() { r.forward(c) })
		}
	}
}

// track registers a connection, so that close closes it. If the relay is closed, it closes the connection and returns false.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		_ = c.Close()
		return false
	default:
		r.conns[c] = true
		return true
	}
}

// untrack closes a connection and removes it.
func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// forward connects to the target and copies both directions until one of them ends.
func (r *Relay) forward(from net.Conn) {
	defer r.untrack(from)
	if !r.gate.Wait(r.done) {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(to) {
		return
	}
	defer r.untrack(to)
	var both sync.WaitGroup
	both.Go(func() { r.copyOneWay(to, from) })
	both.Go(func() { r.copyOneWay(from, to) })
	both.Wait()
}

// copyOneWay copies one direction of a connection. At its end it closes both connections, since none of the protocols in use
// half-closes connections.
func (r *Relay) copyOneWay(to, from net.Conn) {
	const size = 64 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if !r.gate.Wait(r.done) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

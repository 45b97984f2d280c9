// Package relay carries TCP connections between processes of a scenario, so that the connection between two of them can
// be cut without a hook in either.
package relay

import (
	"net"
	"sync"
)

// Gate is open or cut. While it is cut, bytes are held back and none are lost, as in a network that drops packets and
// recovers.
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

// Cut holds back everything from now on.
func (g *Gate) Cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cut {
		g.cut, g.open = true, make(chan struct{})
	}
}

// Heal lets everything pass again.
func (g *Gate) Heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		g.cut = false
		close(g.open)
	}
}

// Wait returns true once the gate is open, or false if done is closed before.
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

// Relay listens on a loopback address and carries every connection to a target through a gate.
type Relay struct {
	target   string
	gate     *Gate
	listener net.Listener
	done     chan struct{}
	tasks    sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New starts a relay. The cleanup closes its connections and waits for its tasks.
func New(target string, g *Gate) (r *Relay, cleanup func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	r = &Relay{target: target, gate: g, listener: l, done: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.tasks.Go(r.accept)
	return r, sync.OnceFunc(r.close), nil
}

// Address is where the relay listens.
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
		if r.keep(c) {
			r.tasks.Go(func() { r.carry(c) })
		}
	}
}

// keep registers a connection for close; it reports false, and closes the connection, if the relay is closed.
func (r *Relay) keep(c net.Conn) bool {
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

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *Relay) carry(from net.Conn) {
	defer r.drop(from)
	if !r.gate.Wait(r.done) {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil || !r.keep(to) {
		return
	}
	defer r.drop(to)
	var both sync.WaitGroup
	both.Go(func() { r.pump(to, from) })
	both.Go(func() { r.pump(from, to) })
	both.Wait()
}

// pump copies one direction. The end of it closes both, since neither protocol in use half-closes.
func (r *Relay) pump(to, from net.Conn) {
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

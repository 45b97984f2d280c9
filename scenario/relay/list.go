package relay

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
)

// Links holds a gate for each ordered pair of process names, and the relays that forward connections through these gates.
type Links struct {
	mu       sync.Mutex
	gates    map[pair]*Gate
	relays   map[pair]*Relay
	cleanups []func()
	closed   bool
}

// pair names the process that opens connections and the process that accepts them.
type pair struct{ from, to string }

// NewLinks returns links whose gates are all open. The cleanup function closes all relays and list servers.
func NewLinks() (l *Links, cleanup func()) {
	l = &Links{gates: map[pair]*Gate{}, relays: map[pair]*Relay{}}
	return l, l.close
}

func (l *Links) close() {
	l.mu.Lock()
	l.closed = true
	cleanups := l.cleanups
	l.cleanups = nil
	l.mu.Unlock()
	for _, f := range cleanups {
		f()
	}
}

// Gate returns the gate for connections that one process opens to another.
func (l *Links) Gate(from, to string) *Gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate(pair{from, to})
}

func (l *Links) gate(p pair) *Gate {
	g := l.gates[p]
	if g == nil {
		g = NewGate()
		l.gates[p] = g
	}
	return g
}

// Address returns the address of a relay for connections from one process to another. target is the address on which the other
// process listens.
func (l *Links) Address(from, to, target string) (address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pair{from, to}
	if r := l.relays[p]; r != nil && r.target == target {
		return r.Address(), nil
	}
	if l.closed {
		return "", net.ErrClosed
	}
	r, cleanup, err := New(target, l.gate(p))
	if err != nil {
		return "", err
	}
	l.relays[p] = r
	l.cleanups = append(l.cleanups, cleanup)
	return r.Address(), nil
}

// ServeList starts an HTTP server with the instance list for one daemon, the viewer. The addresses of the other daemons in it
// are replaced by those of relays. list is the address of the real instance list.
func (l *Links) ServeList(viewer, list string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: &listView{links: l, viewer: viewer, list: list, gate: l.Gate(viewer, "list")}}
	var served sync.WaitGroup
	served.Go(func() { _ = s.Serve(listener) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cleanups = append(l.cleanups, func() {
		_ = s.Close()
		served.Wait()
	})
	return listener.Addr().String(), nil
}

// listView is the handler behind ServeList.
type listView struct {
	links        *Links
	viewer, list string
	gate         *Gate
}

type listBody struct {
	Instances []listEntry `json:"instances"`
}

type listEntry struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// ServeHTTP implements http.Handler.
func (v *listView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !v.gate.Wait(r.Context().Done()) {
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+v.list+r.URL.Path, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		http.Error(w, string(data), http.StatusServiceUnavailable)
		return
	}
	var body listBody
	if err := json.Unmarshal(data, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	for i, e := range body.Instances {
		if e.Kind != "daemon" || e.ID == v.viewer {
			continue
		}
		if body.Instances[i].Address, err = v.links.Address(v.viewer, e.ID, e.Address); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

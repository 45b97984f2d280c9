package logstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxAppendBytes  = 4 << 20
	maxPageBytes    = 16 << 20
	maxWait         = time.Minute
	shutdownTimeout = 2 * time.Second

	pathPrefix = "/v1/streams/"
	pathSuffix = "/entries"
)

// Server serves a store and its faults over HTTP.
type Server struct {
	store      *Store
	faultState faultState
	ctx        context.Context // ends at shutdown and unblocks waiting reads
}

// NewServer returns a server of the store.
func NewServer(s *Store) *Server {
	return &Server{store: s, ctx: context.Background()}
}

// Start serves a new store on a loopback address until cleanup is called, for tests that need no separate process.
func Start(o Options) (s *Server, address string, cleanup func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", nil, fmt.Errorf("listen: %w", err)
	}
	s = NewServer(NewStore(o))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	cleanup = func() {
		cancel()
		<-done
	}
	return s, l.Addr().String(), cleanup, nil
}

// Store returns the store that the server serves.
func (s *Server) Store() *Store { return s.store }

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.faultState.get() }

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	_ = s.faultState.change(func(current *Faults) error {
		*current = f
		return nil
	})
}

// Serve serves requests until ctx ends, and then closes the listener. It may be called only once.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	s.ctx = ctx
	server := &fasthttp.Server{
		Handler:            s.handle,
		MaxRequestBodySize: maxAppendBytes,
		CloseOnShutdown:    true,
		Logger:             log.New(io.Discard, "", 0), // faults and clients close connections on purpose
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve the log store: %w", err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return errors.Join(server.ShutdownWithContext(stop), <-served)
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	if path == "/faults" {
		s.handleFaults(c)
		return
	}
	name, ok := streamName(path)
	if !ok {
		c.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	time.Sleep(time.Duration(s.Faults().DelayMs) * time.Millisecond)
	if s.Faults().Outage {
		c.Error("outage", fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case c.IsPost():
		s.handleAppend(c, name)
	case c.IsGet():
		s.handleRead(c, name)
	default:
		c.Error("GET or POST", fasthttp.StatusMethodNotAllowed)
	}
}

func (s *Server) handleFaults(c *fasthttp.RequestCtx) {
	if c.IsPost() {
		err := s.faultState.change(func(f *Faults) error { return json.Unmarshal(c.PostBody(), f) })
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	writeJSON(c, s.Faults())
}

func (s *Server) handleAppend(c *fasthttp.RequestCtx, name string) {
	f := s.Faults()
	if f.AppendOutage || f.FailStream == name {
		c.Error("append outage", fasthttp.StatusServiceUnavailable)
		return
	}
	data := append([]byte(nil), c.PostBody()...) // fasthttp reuses the request's buffer
	offset, ok := s.store.Append(time.Now(), name, data)
	if !ok {
		c.Error("too many appends", fasthttp.StatusTooManyRequests)
		return
	}
	if s.faultState.loseAnswer() {
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {}) // fasthttp closes the connection when this returns
		return
	}
	writeJSON(c, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

func (s *Server) handleRead(c *fasthttp.RequestCtx, name string) {
	args := c.QueryArgs()
	from, err := queryInt(args, "from", 0)
	maxBytes, err2 := queryInt(args, "maxBytes", maxPageBytes)
	waitMs, err3 := queryInt(args, "waitMs", 0)
	if err := errors.Join(err, err2, err3); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	p := s.store.Poll(s.ctx, name, int64(from), min(maxBytes, maxPageBytes), wait)
	if s.Faults().Outage { // the outage may have begun during the wait
		c.Error("outage", fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(c, p)
}

// queryInt returns a non-negative integer parameter, or defaultValue if the query does not contain it.
func queryInt(args *fasthttp.Args, name string, defaultValue int) (n int, err error) {
	if !args.Has(name) {
		return defaultValue, nil
	}
	n, err = args.GetUint(name)
	if err != nil {
		return 0, fmt.Errorf("parameter %s: %w", name, err)
	}
	return n, nil
}

// streamName returns the name of the stream in a path of the form /v1/streams/NAME/entries.
func streamName(path string) (name string, ok bool) {
	rest, ok := strings.CutPrefix(path, pathPrefix)
	if !ok {
		return "", false
	}
	name, ok = strings.CutSuffix(rest, pathSuffix)
	return name, ok && name != "" && !strings.Contains(name, "/")
}

// writeJSON answers with v encoded as JSON.
func writeJSON(c *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}

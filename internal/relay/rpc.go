package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/frame"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Names of the methods.
const (
	methodAppend = "append"
	methodRead   = "read"
	methodNewest = "newest"
)

// Codes of errors, beside those of JSON-RPC.
const (
	codeNotDone  = 1
	codeUnknown  = 2
	codeConflict = 3
	codeGone     = 4
)

// dialTimeout bounds the time to reach another instance.
const dialTimeout = 150 * time.Millisecond

type appendParams struct {
	Partition partlog.Partition `json:"partition"`
	At        ids.Offset        `json:"at"`
	Records   [][]byte          `json:"records"`
}

type appendResult struct {
	First ids.Offset `json:"first"`
}

type readParams struct {
	Partition partlog.Partition `json:"partition"`
	From      ids.Offset        `json:"from"`
	WaitMs    int64             `json:"waitMs"`
}

type newestParams struct {
	Partition partlog.Partition `json:"partition"`
}

type newestResult struct {
	Entries []partlog.Entry `json:"entries"`
	End     ids.Offset      `json:"end"`
}

type errorData struct {
	Offset ids.Offset `json:"offset"`
}

// client keeps a connection to each instance that was asked.
type client struct {
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

func newClient() *client { return &client{conns: make(map[string]*jsonrpc2.Conn)} }

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *client) log(address string) partlog.Log { return &peerLog{client: c, address: address} }

func (c *client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.DisconnectNotify():
		default:
			return conn, nil
		}
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(nc, frame.Codec{}), refuseCalls{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[address] = conn
	return conn, nil
}

// drop closes a connection on which an answer is missing.
func (c *client) drop(address string, conn *jsonrpc2.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// refuseCalls answers nothing: only the side that opened a connection calls.
type refuseCalls struct{}

func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// peerLog is the log as another instance reaches it.
type peerLog struct {
	client  *client
	address string
}

func (p *peerLog) call(ctx context.Context, method string, params, result any) error {
	conn, err := p.client.conn(ctx, p.address)
	if err != nil {
		return errors.Join(partlog.ErrNotDone, err)
	}
	err = conn.Call(ctx, method, params, result)
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) {
		return decodeError(rpc)
	}
	if err != nil {
		p.client.drop(p.address, conn)
		return errors.Join(partlog.ErrUnknown, err)
	}
	return nil
}

func (p *peerLog) Append(ctx context.Context, part partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	var r appendResult
	err := p.call(ctx, methodAppend, appendParams{Partition: part, At: at, Records: records}, &r)
	return r.First, err
}

func (p *peerLog) Read(ctx context.Context, part partlog.Partition, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	err = p.call(ctx, methodRead, readParams{Partition: part, From: from, WaitMs: wait.Milliseconds()}, &page)
	// A read that was not answered had no effect, so that another instance may be asked.
	return page, notDone(err)
}

func (p *peerLog) Newest(ctx context.Context, part partlog.Partition) ([]partlog.Entry, ids.Offset, error) {
	var r newestResult
	err := p.call(ctx, methodNewest, newestParams{Partition: part}, &r)
	return r.Entries, r.End, notDone(err)
}

func notDone(err error) error {
	if errors.Is(err, partlog.ErrUnknown) {
		return errors.Join(partlog.ErrNotDone, err)
	}
	return err
}

// Server answers the calls of other instances with the log as this one reaches it.
type Server struct {
	log *Log

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server.
func NewServer(l *Log) *Server { return &Server{log: l, conns: make(map[*jsonrpc2.Conn]struct{})} }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	defer s.closeAll()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(nc, frame.Codec{}),
			jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle)))
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			<-conn.DisconnectNotify()
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.conns, conn)
		}()
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// handle makes a call directly. It is never passed on to a third instance.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (result any, err error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if !s.log.Reachable() {
		return nil, encodeError(errAway)
	}
	switch r.Method {
	case methodAppend:
		return answer(r, func(p appendParams) (any, error) {
			first, err := s.log.Direct.Append(ctx, p.Partition, p.At, p.Records...)
			s.log.note(err)
			return appendResult{First: first}, err
		})
	case methodRead:
		return answer(r, func(p readParams) (any, error) {
			page, err := s.log.Direct.Read(ctx, p.Partition, p.From, time.Duration(p.WaitMs)*time.Millisecond)
			s.log.note(err)
			return page, err
		})
	case methodNewest:
		return answer(r, func(p newestParams) (any, error) {
			entries, end, err := s.log.Direct.Newest(ctx, p.Partition)
			s.log.note(err)
			return newestResult{Entries: entries, End: end}, err
		})
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
}

func answer[P any](r *jsonrpc2.Request, do func(P) (any, error)) (any, error) {
	var p P
	if err := json.Unmarshal(*r.Params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	result, err := do(p)
	if err != nil {
		return nil, encodeError(err)
	}
	return result, nil
}

func encodeError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
	var conflict *partlog.ConflictError
	var gone *partlog.GoneError
	switch {
	case errors.As(err, &conflict):
		e.Code = codeConflict
		e.SetError(errorData{Offset: conflict.End})
	case errors.As(err, &gone):
		e.Code = codeGone
		e.SetError(errorData{Offset: gone.First})
	case errors.Is(err, partlog.ErrNotDone):
		e.Code = codeNotDone
	}
	return e
}

func decodeError(e *jsonrpc2.Error) error {
	var data errorData
	if e.Data != nil {
		if err := json.Unmarshal(*e.Data, &data); err != nil {
			return errors.Join(partlog.ErrUnknown, err)
		}
	}
	switch e.Code {
	case codeConflict:
		return &partlog.ConflictError{End: data.Offset}
	case codeGone:
		return &partlog.GoneError{First: data.Offset}
	case codeNotDone:
		return errors.Join(partlog.ErrNotDone, e)
	default:
		return errors.Join(partlog.ErrUnknown, e)
	}
}

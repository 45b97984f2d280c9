package rpc

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/comfreylink/comfreylink/internal/frame"
)

const (
	// silenceTimeout bounds how long sent bytes may stay unacknowledged, and how long a write may make no progress. Then the
	// connection is closed. An instance can become unreachable without a reset.
	silenceTimeout = 3 * time.Second
	// maxQueuedBytes bounds the messages that wait to be written to a connection. A single larger one may wait alone, and small
	// ones may exceed the limit by as much again, so that an error can be returned instead of a large result.
	maxQueuedBytes    = 8 << 20
	smallMessageBytes = 1 << 10
	// writeBytes is the size of one write, for which silenceTimeout applies.
	writeBytes = 256 << 10
)

// errQueueFull is the error of a message for which there is no room because the other instance does not read fast enough.
var errQueueFull = errors.New("too many messages wait to be written to the instance")

// stream carries the messages of one connection. It queues what is to be written, because a write blocks for as long as the
// other instance does not read, and jsonrpc2 writes under a lock for which all other calls of the connection wait.
type stream struct {
	conn net.Conn
	r    *bufio.Reader
	// closed is called when the connection is closed, without locks held.
	closed func()
	// received is the number of messages that have arrived.
	received atomic.Int64

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int  // those that are being written included
	writing     bool // the goroutine that writes the queue runs
	err         error
}

func newStream(conn net.Conn, closed func()) *stream {
	setUserTimeout(conn)
	return &stream{conn: conn, r: bufio.NewReader(conn), closed: closed}
}

// setUserTimeout makes the kernel close a connection on which sent bytes stay unacknowledged for silenceTimeout. Without it a
// silent connection is found later, by the deadlines of calls.
func setUserTimeout(conn net.Conn) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
}

// WriteObject implements jsonrpc2.ObjectStream. It queues the message and does not wait until it is written. After an error
// nothing of the message will be sent.
func (s *stream) WriteObject(obj any) error {
	message, err := frame.Encode(obj)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	limit := maxQueuedBytes
	if len(message) <= smallMessageBytes {
		limit *= 2
	}
	if s.queuedBytes > 0 && s.queuedBytes+len(message) > limit {
		return errQueueFull
	}
	s.queue = append(s.queue, message)
	s.queuedBytes += len(message)
	if !s.writing {
		s.writing = true
		go s.writeQueue()
	}
	return nil
}

// written reports whether no message waits to be written.
func (s *stream) written() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuedBytes == 0 || s.err != nil
}

// writeQueue writes the queue until it is empty or the connection fails.
func (s *stream) writeQueue() {
	for {
		b, ok := s.takeQueued()
		if !ok {
			return
		}
		if err := s.write(b); err != nil {
			s.fail(err)
			return
		}
		s.mu.Lock()
		s.queuedBytes -= len(b)
		s.mu.Unlock()
	}
}

// takeQueued removes the queued messages, to write them at once. If there are none, ok is false and the writer ends.
func (s *stream) takeQueued() (b []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 || s.err != nil {
		s.writing = false
		return nil, false
	}
	b = s.queue[0]
	for _, message := range s.queue[1:] {
		b = append(b, message...)
	}
	s.queue = nil
	return b, true
}

func (s *stream) write(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), writeBytes)
		if err := s.conn.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
			return err
		}
		if _, err := s.conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// fail closes the connection, which also ends the reads.
func (s *stream) fail(err error) {
	s.mu.Lock()
	s.err, s.queue = err, nil
	s.mu.Unlock()
	_ = s.conn.Close()
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	err := frame.Codec{}.ReadObject(s.r, v)
	s.received.Add(1)
	return err
}

// Close implements jsonrpc2.ObjectStream, which is closed once.
func (s *stream) Close() error {
	s.fail(net.ErrClosed)
	s.closed()
	return nil
}

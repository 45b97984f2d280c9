package httpwire

import (
	"errors"
	"net"
	"time"
)

// acceptPause is the time before the next try after a connection could not be accepted.
const acceptPause = 20 * time.Millisecond

// KeepAccepting returns a listener that goes on after errors of l, until l is closed. Such an error concerns one connection, or
// the process has no free descriptor for a time; it must not end the server. The first error after a success is passed to
// failed.
func KeepAccepting(l net.Listener, failed func(err error)) net.Listener {
	return keepAccepting{Listener: l, failed: failed}
}

type keepAccepting struct {
	net.Listener
	failed func(err error)
}

// Accept implements net.Listener. It returns an error only if the listener is closed.
func (k keepAccepting) Accept() (net.Conn, error) {
	for reported := false; ; reported = true {
		conn, err := k.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if !reported {
			k.failed(err)
		}
		time.Sleep(acceptPause)
	}
}

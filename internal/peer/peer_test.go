package peer_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/certs"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo is a handler that sends three chunks and then the name of the calling instance.
type echo struct{}

func (echo) ServePeer(_ context.Context, from ids.InstanceID, m peer.Method, params json.RawMessage, notify func(any) error) (any, error) {
	if m != peer.MethodCall {
		return nil, peer.ErrUnknownMethod
	}
	for _, d := range []string{"a", "b", "c"} {
		if err := notify(peer.Chunk{Delta: d}); err != nil {
			return nil, err
		}
	}
	return peer.Result{Trace: peer.Trace{Owner: from}}, nil
}

// fleet is a server, osu-1, and a client of another instance, tema-1.
type fleet struct {
	address  peer.Address
	client   *peer.Client
	rejected chan error
}

func credentials(c *qt.C, a *certs.Authority, id ids.InstanceID) peer.Credentials {
	dir := c.TempDir()
	ca, err := a.WriteAuthority(dir)
	c.Assert(err, qt.IsNil)
	cert, key, err := a.Issue(time.Now(), dir, id)
	c.Assert(err, qt.IsNil)
	cred, err := peer.LoadCredentials(ca, cert, key)
	c.Assert(err, qt.IsNil)
	return cred
}

func newFleet(c *qt.C) *fleet {
	authority, err := certs.NewAuthority(time.Now(), time.Hour)
	c.Assert(err, qt.IsNil)
	f := &fleet{rejected: make(chan error, 16)}
	server, cleanup, err := peer.Listen("127.0.0.1:0", credentials(c, authority, "osu-1"), func(_ string, err error) { f.rejected <- err })
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return server.Serve(ctx, echo{}) })
	client, closeClient := peer.New(credentials(c, authority, "tema-1"))
	c.Cleanup(func() {
		closeClient()
		cancel()
		cleanup()
		c.Check(g.Wait(), qt.IsNil)
	})
	f.address, f.client = peer.Address{Instance: "osu-1", HostPort: server.Address()}, client
	return f
}

// Guards against chunks that are lost, reordered or delivered after the result.
func TestCallDeliversChunksInOrderBeforeTheResult(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	var got strings.Builder
	var result peer.Result
	err := f.client.Call(context.Background(), f.address, peer.MethodCall, peer.Call{}, &result, func(raw json.RawMessage) {
		var chunk peer.Chunk
		c.Check(json.Unmarshal(raw, &chunk), qt.IsNil)
		got.WriteString(chunk.Delta)
	})
	c.Assert(err, qt.IsNil)
	c.Assert(got.String(), qt.Equals, "abc")
	c.Assert(result.Trace.Owner, qt.Equals, ids.InstanceID("tema-1"))
}

// Guards against serving a process that has no certificate of the fleet.
func TestClientWithoutCertificateGetsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	conn, err := tls.Dial("tcp", f.address.HostPort, &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	c.Assert(err, qt.ErrorMatches, ".*certificate required.*")
	c.Assert(<-f.rejected, qt.IsNotNil)
}

// Guards against accepting a client whose certificate another authority issued, and against a peer that poses as
// another instance.
func TestForeignCertificateIsRejected(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	other, err := certs.NewAuthority(time.Now(), time.Hour)
	c.Assert(err, qt.IsNil)
	client, cleanup := peer.New(credentials(c, other, "tema-1"))
	defer cleanup()
	var result peer.Result
	err = client.Call(context.Background(), f.address, peer.MethodCall, peer.Call{}, &result, nil)
	c.Assert(errors.Is(err, peer.ErrNotSent), qt.IsTrue)

	wrong := peer.Address{Instance: "madina-9", HostPort: f.address.HostPort}
	err = f.client.Call(context.Background(), wrong, peer.MethodCall, peer.Call{}, &result, nil)
	c.Assert(err, qt.ErrorMatches, ".*madina-9.*")
}

// Guards against a server that stops serving its peers after another process sent invalid data to the peer port.
func TestGarbageDoesNotStopTheServer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	conn, err := net.Dial("tcp", f.address.HostPort)
	c.Assert(err, qt.IsNil)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(<-f.rejected, qt.IsNotNil)
	_ = conn.Close()
	var result peer.Result
	c.Assert(f.client.Call(context.Background(), f.address, peer.MethodCall, peer.Call{}, &result, nil), qt.IsNil)
	err = f.client.Call(context.Background(), f.address, "nonsense", peer.Call{}, &result, nil)
	c.Assert(err, qt.ErrorMatches, ".*unknown method.*")
}

package instancelist_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/targethttp"
	"github.com/comfreylink/comfreylink/standin/list"
	"github.com/comfreylink/comfreylink/standin/serve"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

func start(c *qt.C, h fasthttp.RequestHandler) (address string, client *instancelist.Client) {
	s, err := serve.Start("127.0.0.1:0", h)
	c.Assert(err, qt.IsNil)
	client, cleanup, err := instancelist.New(s.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		cleanup()
		c.Check(s.Stop(), qt.IsNil)
	})
	return s.Address(), client
}

func within(c *qt.C, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	c.Cleanup(cancel)
	return ctx
}

func do(c *qt.C, method, url, body string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetBodyString(body)
	c.Assert(fasthttp.Do(req, resp), qt.IsNil)
	c.Assert(resp.StatusCode() < 300, qt.IsTrue)
}

// Guards against fields that are not decoded, and against an outage that looks like an empty list.
func TestListShowsInstancesAndOutage(t *testing.T) {
	c := qt.New(t)
	l, cleanup := list.New(0, time.Now)
	defer cleanup()
	address, client := start(c, l.Handle)
	i := instancelist.Instance{
		ID: "e1", Kind: instancelist.Target, Pool: "large", Zone: "osu", Address: "10.0.0.1:80", State: instancelist.Live,
	}
	do(c, "PUT", "http://"+address+"/v1/instances/e1", `{"kind":"target","pool":"large","zone":"osu","address":"10.0.0.1:80"}`)
	got, err := client.List(within(c, time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, []instancelist.Instance{i})

	do(c, "POST", "http://"+address+"/faults", `{"outage":true}`)
	_, err = client.List(within(c, time.Second))
	var e *targethttp.Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Status, qt.Equals, fasthttp.StatusServiceUnavailable)
}

// Guards against work for an instance whose kind or state is unknown, and against a malformed entry that makes the whole
// list unusable.
func TestUnknownEntries(t *testing.T) {
	c := qt.New(t)
	_, client := start(c, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(`{"instances":[
			{"id":"a","kind":"target","address":"10.0.0.1:80","state":"retiring"},
			{"id":"a","kind":"target","address":"10.0.0.2:80","state":"live"},
			{"id":"b","kind":"sensor","address":"10.0.0.3:80","state":"live"},
			{"id":"","kind":"target","address":"10.0.0.4:80","state":"live"},
			{"id":"c","kind":"daemon","state":"live"}]}`)
	})
	got, err := client.List(within(c, time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].State, qt.Equals, instancelist.Leaving)
}

// Guards against an invalid address in the settings that causes an error only at the first request.
func TestAddressIsChecked(t *testing.T) {
	_, _, err := instancelist.New("platform")
	qt.Assert(t, err, qt.ErrorMatches, ".*missing port.*")
}

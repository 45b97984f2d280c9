package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const initialBurst = 10

var (
	now              = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)
	templateDocument = json.RawMessage(`{"models":[{"model":"brain-70b","pool":"design-brain","maxInFlight":8,"defaultMaxTokens":1024}],
		"services":[{"name":"orders","pool":"order-desk","repeatableMethods":["GET"],"deadline":"10s"},
			{"name":"menu","pool":"order-desk","public":true,"repeatableMethods":[],"deadline":"10s"}],
		"program":{"maxTurns":230,"idleTimeout":"30m","defaultDeadline":"2m"}}`)
	workspaceDocument = json.RawMessage(`{"templates":["brain"],"rate":5,"burst":10,"budget":1000,"weight":1}`)
)

func publish(c *config.Catalog, at int64, object string, base ids.Revision, document string) error {
	p := &record.Publish{Object: object, Base: base, Document: json.RawMessage(document)}
	return c.Apply(ids.Position{Offset: ids.Offset(at)}, "operator#1", p)
}

// workspaceWith returns a workspace document with one key.
func workspaceWith(label, key string, expires time.Time) string {
	w := config.Workspace{
		Templates: []string{"brain"},
		Keys:      []config.KeyInfo{{Label: label, SHA256: config.HashKey(key), ExpiresAt: expires}},
		Limits:    config.Limits{Rate: 5, Burst: initialBurst, Budget: 1000, Weight: 1},
	}
	return string(encode(w))
}

func encode(w config.Workspace) json.RawMessage {
	data, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return data
}

func newCatalog(t *testing.T) *config.Catalog {
	c := config.New()
	qt.Assert(t, publish(c, 0, "template/brain", ids.NoRevision, string(templateDocument)), qt.IsNil)
	qt.Assert(t, publish(c, 1, "workspace/a", ids.NoRevision, workspaceWith("first", "secret", now)), qt.IsNil)
	return c
}

// Guards against a key that works after it was withdrawn or has expired, and against a key in two workspaces (R5).
func TestAuthenticate(t *testing.T) {
	c := newCatalog(t)
	ws, ok := c.Authenticate("secret", now.Add(-time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, ws, qt.Equals, ids.WorkspaceID("a"))
	_, ok = c.Authenticate("secret", now)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the key has expired"))
	_, ok = c.Authenticate("", now)
	qt.Assert(t, ok, qt.IsFalse)

	var invalid *config.InvalidError
	err := publish(c, 2, "workspace/b", ids.NoRevision, workspaceWith("stolen", "secret", time.Time{}))
	qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("a hash in two workspaces: %v", err))

	earlier := c.Current()
	qt.Assert(t, publish(c, 3, "workspace/a", 1, workspaceWith("first", "other", time.Time{})), qt.IsNil)
	_, ok = c.Authenticate("secret", now.Add(-time.Second))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the key was withdrawn"))
	_, ok = c.Current().AuthenticateHash(config.HashKey("other"), now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = earlier.Authenticate("secret", now.Add(-time.Second))
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("a view does not change"))
	qt.Assert(t, publish(c, 4, "workspace/a", 3, "null"), qt.IsNil)
	_, ok = c.Authenticate("other", now)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the workspace was removed"))
}

// Guards against accepting a conflicting publish: one with a stale base, one that takes a removed object for a new one,
// and the second of two records in one batch, which would give two documents the same revision.
func TestConflicts(t *testing.T) {
	c := newCatalog(t)
	doc := string(workspaceDocument)
	var conflict *config.ConflictError
	qt.Assert(t, errors.As(publish(c, 2, "workspace/a", ids.NoRevision, doc), &conflict), qt.IsTrue)
	qt.Assert(t, conflict.Current, qt.Equals, ids.Revision(1))
	qt.Assert(t, publish(c, 3, "workspace/a", 1, doc), qt.IsNil)
	qt.Assert(t, errors.As(publish(c, 3, "workspace/a", 3, doc), &conflict), qt.IsTrue)
	qt.Assert(t, publish(c, 4, "workspace/a", 3, "null"), qt.IsNil)
	qt.Assert(t, errors.As(publish(c, 5, "workspace/a", ids.NoRevision, doc), &conflict), qt.IsTrue)
	qt.Assert(t, conflict.Current, qt.Equals, ids.Revision(4))
	qt.Assert(t, publish(c, 6, "workspace/a", 4, doc), qt.IsNil)
	qt.Assert(t, c.Revision(), qt.Equals, ids.Revision(6))
}

// Guards against accepting a document that is invalid on its own or together with other objects.
func TestInvalid(t *testing.T) {
	c := newCatalog(t)
	public := strings.Replace(string(templateDocument), `"public":true`, `"public":true,"checksFencing":true`, 1)
	for object, documents := range map[string][]string{
		"template/x": {
			"", "[]", "{}", `{"surprise":1}`, string(templateDocument) + "{}", public,
			strings.Replace(string(templateDocument), `"30m"`, `30`, 1),
			strings.Replace(string(templateDocument), `"menu"`, `"orders"`, 1),
			strings.Replace(string(templateDocument), `"GET"`, `"get"`, 1),
			strings.Replace(string(templateDocument), `"maxInFlight":8`, `"maxInFlight":0`, 1),
		},
		"workspace/x": {
			"null", strings.Replace(string(workspaceDocument), "brain", "missing", 1),
			strings.Replace(string(workspaceDocument), `"rate":5`, `"rate":0.0009`, 1),
			strings.Replace(string(workspaceDocument), `"weight":1`, `"weight":1001`, 1),
			strings.Replace(workspaceWith("k", "key", now), config.HashKey("key").String(), "abc", 1),
		},
		"workspace/X": {string(workspaceDocument)},
	} {
		for _, document := range documents {
			var invalid *config.InvalidError
			err := publish(c, 9, object, ids.NoRevision, document)
			qt.Check(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s %s: %v", object, document, err))
		}
	}
	err := publish(c, 9, "template/brain", 0, "null")
	qt.Assert(t, err, qt.ErrorMatches, `invalid: template/brain: workspace "a" uses the template`)
	var unknown *config.UnknownError
	qt.Assert(t, errors.As(publish(c, 9, "gadget/x", ids.NoRevision, "{}"), &unknown), qt.IsTrue)
	qt.Assert(t, errors.As(c.Apply(ids.Position{Offset: 9}, "w", &record.Alive{Writer: "w"}), &unknown), qt.IsTrue)
	qt.Assert(t, c.Revision(), qt.Equals, ids.Revision(1))
}

// Guards against routes outside of a workspace's templates, and against callers that change the catalog through a copy.
func TestRoutes(t *testing.T) {
	c := newCatalog(t)
	model, ok := c.Model("a", "brain-70b")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, model.Model.Pool, qt.Equals, ids.PoolID("design-brain"))
	qt.Assert(t, model.Program.IdleTimeout.Std(), qt.Equals, 30*time.Minute)
	_, ok = c.Model("b", "brain-70b")
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = c.PublicService("orders")
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = c.PublicService("menu")
	qt.Assert(t, ok, qt.IsTrue)
	route, ok := c.Service("a", "orders")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, route.Service.Idempotent("GET"), qt.IsTrue)
	qt.Assert(t, route.Service.Idempotent("POST"), qt.IsFalse)
	route.Service.IdempotentMethods[0] = "POST"
	route, _ = c.Service("a", "orders")
	qt.Assert(t, route.Service.Idempotent("POST"), qt.IsFalse)
}

// Guards against replacing the configuration by a malformed snapshot or one that this package cannot have written.
func TestRestoreRefuses(t *testing.T) {
	c := newCatalog(t)
	before, err := c.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	for _, data := range []string{
		"", "{}x", `{"objects":[{"name":"workspace/a","revision":1,"document":{}}]}`,
		`{"objects":[{"name":"x","revision":1,"document":null}]}`,
		`{"objects":[{"name":"workspace/a","revision":1,"document":null},{"name":"workspace/a","revision":2,"document":null}]}`,
	} {
		qt.Check(t, c.Restore([]byte(data)), qt.IsNotNil, qt.Commentf("%s", data))
	}
	after, err := c.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(after), qt.Equals, string(before))
}

// Guards against keys that appear in logs or dumps.
func TestKeyIsNeverShown(t *testing.T) {
	k, err := config.NewKey(strings.NewReader(strings.Repeat("x", 32)))
	qt.Assert(t, err, qt.IsNil)
	encoded, err := json.Marshal(struct{ Key config.Key }{k})
	qt.Assert(t, err, qt.IsNil)
	shown := string(encoded) + fmt.Sprintf("%v %+v %#v %s %q %x %d", k, k, k, k, k, k, k) + fmt.Sprint(k, &k, []config.Key{k})
	qt.Assert(t, shown, qt.Not(qt.Contains), k.Reveal())
	qt.Assert(t, shown, qt.Not(qt.Contains), fmt.Sprintf("%x", k.Reveal()))
}

// Package config folds the config stream into the templates and workspaces that are in force. It validates each publish
// and ignores those that are invalid or conflict with an earlier one.
package config

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Catalog is the fold of the config stream. One goroutine applies records; any number may read at the same time.
type Catalog struct {
	current atomic.Pointer[View]
}

// New returns a catalog without objects.
func New() *Catalog {
	c := &Catalog{}
	c.current.Store(newView())
	return c
}

func newView() *View { return &View{revision: ids.NoRevision, public: map[string]Service{}} }

// Apply applies a publish. If it is rejected, Apply returns a *ConflictError, *InvalidError or *UnknownError and changes
// nothing.
func (c *Catalog) Apply(at ids.Position, _ ids.WriterID, b record.Body) error {
	p, ok := b.(*record.Publish)
	if !ok {
		return &UnknownError{What: fmt.Sprintf("record type %q in the config stream", b.Type())}
	}
	next, err := c.Current().Publish(ids.Revision(at.Offset), p)
	if err != nil {
		return err
	}
	c.current.Store(next)
	return nil
}

// Current returns the configuration in force. It takes no lock and copies nothing.
func (c *Catalog) Current() *View { return c.current.Load() }

// Revision returns the highest revision of all objects, or NoRevision.
func (c *Catalog) Revision() ids.Revision { return c.Current().Revision() }

// Authenticate returns the workspace of a key, or false if the key is unknown or has expired at now.
func (c *Catalog) Authenticate(key string, now time.Time) (ids.WorkspaceID, bool) {
	return c.Current().Authenticate(key, now)
}

// Workspace returns a copy of a workspace's parameters.
func (c *Catalog) Workspace(id ids.WorkspaceID) (Workspace, bool) { return c.Current().Workspace(id) }

// Template returns a copy of a template.
func (c *Catalog) Template(name string) (Template, bool) { return c.Current().Template(name) }

// Service returns the route of a service for a workspace.
func (c *Catalog) Service(id ids.WorkspaceID, name string) (ServiceRoute, bool) {
	return c.Current().Service(id, name)
}

// Model returns the route of a model for a workspace.
func (c *Catalog) Model(id ids.WorkspaceID, model ids.ModelID) (ModelRoute, bool) {
	return c.Current().Model(id, model)
}

// PublicService returns a service that needs no key.
func (c *Catalog) PublicService(name string) (Service, bool) { return c.Current().PublicService(name) }

// state is the encoded content of a snapshot.
type state struct {
	Objects []Object `json:"objects"`
}

// Snapshot encodes the configuration in force. Equal states have equal encodings.
func (c *Catalog) Snapshot() (data []byte, err error) {
	data, err = json.Marshal(state{Objects: c.Current().Objects()})
	if err != nil {
		return nil, fmt.Errorf("encode the configuration: %w", err)
	}
	return data, nil
}

// Restore replaces the configuration in force by that of a snapshot. After an error it is unchanged.
func (c *Catalog) Restore(data []byte) error {
	var s state
	if err := decode(data, &s); err != nil {
		return fmt.Errorf("decode the configuration: %w", err)
	}
	v, err := restoreView(s.Objects)
	if err != nil {
		return fmt.Errorf("restore the configuration: %w", err)
	}
	c.current.Store(v)
	return nil
}

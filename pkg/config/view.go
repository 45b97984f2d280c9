package config

import (
	"crypto/subtle"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// View is the configuration after one record of the stream. It is immutable.
type View struct {
	revision   ids.Revision
	objects    table[entry]
	templates  table[Template]
	workspaces table[Workspace]
	keys       table[[]keyOwner]
	public     map[string]Service
}

// entry is an object's revision and canonical document. The document is nil if the object was removed.
type entry struct {
	revision ids.Revision
	document json.RawMessage
}

type keyOwner struct {
	key       KeyInfo
	workspace ids.WorkspaceID
}

// keyBucketBytes is the length of the hash prefix that selects a bucket of keys. The hashes in a bucket are compared in
// constant time. The time to find the bucket reveals at most something about a hash, from which no key can be derived.
const keyBucketBytes = 8

func bucketOf(h KeyHash) string { return string(h[:keyBucketBytes]) }

// Revision returns the highest revision of all objects, or NoRevision.
func (v *View) Revision() ids.Revision { return v.revision }

// Authenticate returns the workspace of a key, or false if the key is unknown or has expired at now.
func (v *View) Authenticate(key string, now time.Time) (ids.WorkspaceID, bool) {
	return v.AuthenticateHash(HashKey(key), now)
}

// AuthenticateHash is Authenticate for an admitted request, which has only the hash of its key.
func (v *View) AuthenticateHash(h KeyHash, now time.Time) (ids.WorkspaceID, bool) {
	o, ok := v.keyOwner(h)
	if !ok || !o.key.ExpiresAt.IsZero() && !now.Before(o.key.ExpiresAt) {
		return "", false
	}
	return o.workspace, true
}

func (v *View) keyOwner(h KeyHash) (keyOwner, bool) {
	bucket, _ := v.keys.get(bucketOf(h))
	found := -1
	for i := range bucket {
		match := subtle.ConstantTimeCompare(bucket[i].key.SHA256[:], h[:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		return keyOwner{}, false
	}
	return bucket[found], true
}

// Workspace returns a copy of a workspace's parameters.
func (v *View) Workspace(id ids.WorkspaceID) (Workspace, bool) {
	w, ok := v.workspaces.get(string(id))
	w.Templates = slices.Clone(w.Templates)
	w.Keys = slices.Clone(w.Keys)
	return w, ok
}

// Limits returns a workspace's limits without copying the rest.
func (v *View) Limits(id ids.WorkspaceID) (Limits, bool) {
	w, ok := v.workspaces.get(string(id))
	return w.Limits, ok
}

// Template returns a copy of a template.
func (v *View) Template(name string) (Template, bool) {
	t, ok := v.templates.get(name)
	t.Models = slices.Clone(t.Models)
	t.Services = slices.Clone(t.Services)
	for i := range t.Services {
		t.Services[i] = t.Services[i].clone()
	}
	return t, ok
}

func (s Service) clone() Service {
	s.IdempotentMethods = slices.Clone(s.IdempotentMethods)
	return s
}

// ModelRoute is a model that a workspace may use, with the limits of the template that it comes from.
type ModelRoute struct {
	Template string
	Model    Model
	Program  Program
}

// Model returns the route of a model for a workspace. If several templates have the model, the first one applies.
func (v *View) Model(id ids.WorkspaceID, model ids.ModelID) (ModelRoute, bool) {
	w, _ := v.workspaces.get(string(id))
	for _, name := range w.Templates {
		t, _ := v.templates.get(name)
		for _, m := range t.Models {
			if m.Model == model {
				return ModelRoute{Template: name, Model: m, Program: t.Program}, true
			}
		}
	}
	return ModelRoute{}, false
}

// ServiceRoute is a service that a workspace may use, with the limits of the template that it comes from.
type ServiceRoute struct {
	Template string
	Service  Service
	Program  Program
}

// Service returns the route of a service for a workspace. If several templates have the service, the first one applies.
func (v *View) Service(id ids.WorkspaceID, name string) (ServiceRoute, bool) {
	w, _ := v.workspaces.get(string(id))
	for _, template := range w.Templates {
		t, _ := v.templates.get(template)
		for _, s := range t.Services {
			if s.Name == name {
				return ServiceRoute{Template: template, Service: s.clone(), Program: t.Program}, true
			}
		}
	}
	return ServiceRoute{}, false
}

// PublicService returns a service that needs no key.
func (v *View) PublicService(name string) (Service, bool) {
	s, ok := v.public[name]
	return s.clone(), ok
}

// Object returns the current state of an object, or false if it was never published.
func (v *View) Object(name string) (Object, bool) {
	e, ok := v.objects.get(name)
	return Object{Name: name, Revision: e.revision, Document: slices.Clone(e.document)}, ok
}

// Objects returns all objects, including removed ones, sorted by name.
func (v *View) Objects() []Object {
	var list []Object
	for name := range v.objects.all {
		o, _ := v.Object(name)
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

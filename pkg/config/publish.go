package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Publish returns the view after a publish at the revision at, or why the publish does not count: a *ConflictError,
// *InvalidError or *UnknownError.
func (v *View) Publish(at ids.Revision, p *record.Publish) (*View, error) {
	kind, name, err := SplitObject(p.Object)
	if err != nil {
		return nil, err
	}
	current := ids.NoRevision
	if e, ok := v.objects.get(p.Object); ok {
		current = e.revision
	}
	// Two records of one batch share an offset. The second one would give another document the same revision.
	if p.Base != current || at <= current {
		return nil, &ConflictError{Object: p.Object, Base: p.Base, Current: current}
	}
	next := *v
	why := next.replace(kind, name, at, p.Document)
	if len(why) > 0 {
		return nil, &InvalidError{Object: p.Object, Reasons: why}
	}
	next.revision = max(next.revision, at)
	return &next, nil
}

// replace sets an object of a view that no reader can see yet.
func (v *View) replace(kind ObjectKind, name string, at ids.Revision, document json.RawMessage) (why []string) {
	if len(document) == 0 {
		return []string{"no document"}
	}
	object := ObjectName(kind, name)
	e := entry{revision: at}
	switch before, _ := v.objects.get(object); {
	case string(document) != "null":
		e.document, why = v.setObject(kind, name, at, document)
	case before.document == nil:
		why = []string{"there is no object to remove"}
	default:
		why = v.removeObject(kind, name)
	}
	v.objects.set(object, e)
	return why
}

func (v *View) removeObject(kind ObjectKind, name string) (why []string) {
	if kind == WorkspaceKind {
		v.removeKeys(name)
		v.workspaces.remove(name)
		return nil
	}
	for _, w := range v.workspaces.all {
		if slices.Contains(w.Templates, name) {
			why = append(why, fmt.Sprintf("workspace %q uses the template", w.ID))
		}
	}
	slices.Sort(why)
	v.templates.remove(name)
	v.public, _ = v.publicServices()
	return why
}

func (v *View) setObject(kind ObjectKind, name string, at ids.Revision, document []byte) (data []byte, why []string) {
	if kind == TemplateKind {
		t, data, err := canonical[Template](document)
		if err != nil {
			return nil, []string{err.Error()}
		}
		t.Name, t.Revision = name, at
		return data, v.setTemplate(t)
	}
	w, data, err := canonical[Workspace](document)
	if err != nil {
		return nil, []string{err.Error()}
	}
	w.ID, w.Revision = ids.WorkspaceID(name), at
	return data, v.setWorkspace(w)
}

// canonical decodes a document and returns it as it is after one more encoding and decoding. A reader that restores a
// snapshot therefore has the same value as one that folded the publish, for example nil for an empty list.
func canonical[T any](document []byte) (value T, data []byte, err error) {
	var first T
	if err := decode(document, &first); err != nil {
		return value, nil, err
	}
	data, err = json.Marshal(first)
	if err != nil {
		return value, nil, err
	}
	return value, data, decode(data, &value)
}

func (v *View) setTemplate(t Template) (why []string) {
	if why := t.Validate(); len(why) > 0 {
		return why
	}
	v.templates.set(t.Name, t)
	v.public, why = v.publicServices()
	return why
}

// publicServices returns the services without keys. A request for one of them names no workspace, so templates that
// have the same public service must agree on it.
func (v *View) publicServices() (public map[string]Service, why []string) {
	public = map[string]Service{}
	for _, t := range v.templates.all {
		for _, s := range t.Services {
			if !s.Public {
				continue
			}
			if other, ok := public[s.Name]; ok && !reflect.DeepEqual(s, other) {
				why = append(why, fmt.Sprintf("public service %q differs between templates", s.Name))
			}
			public[s.Name] = s
		}
	}
	return public, slices.Compact(slices.Sorted(slices.Values(why)))
}

func (v *View) setWorkspace(w Workspace) (why []string) {
	if why := w.Validate(); len(why) > 0 {
		return why
	}
	for _, name := range w.Templates {
		if _, ok := v.templates.get(name); !ok {
			why = append(why, fmt.Sprintf("template %q does not exist", name))
		}
	}
	v.removeKeys(string(w.ID))
	for _, k := range w.Keys {
		if o, taken := v.keyOwner(k.SHA256); taken {
			why = append(why, fmt.Sprintf("key %q is also a key of workspace %q", k.Label, o.workspace))
		}
		bucket, _ := v.keys.get(bucketOf(k.SHA256))
		v.keys.set(bucketOf(k.SHA256), append(slices.Clone(bucket), keyOwner{key: k, workspace: w.ID}))
	}
	v.workspaces.set(string(w.ID), w)
	return why
}

func (v *View) removeKeys(workspace string) {
	w, _ := v.workspaces.get(workspace)
	for _, k := range w.Keys {
		bucket, _ := v.keys.get(bucketOf(k.SHA256))
		bucket = slices.DeleteFunc(slices.Clone(bucket), func(o keyOwner) bool { return o.workspace == w.ID })
		if len(bucket) == 0 {
			v.keys.remove(bucketOf(k.SHA256))
			continue
		}
		v.keys.set(bucketOf(k.SHA256), bucket)
	}
}

// restoreView builds a view of the objects of a snapshot. Templates come first because workspaces name them.
func restoreView(objects []Object) (*View, error) {
	v := newView()
	for _, want := range []ObjectKind{TemplateKind, WorkspaceKind} {
		for _, o := range objects {
			kind, name, err := SplitObject(o.Name)
			if err != nil {
				return nil, err
			}
			if kind != want {
				continue
			}
			if err := v.restore(kind, name, o); err != nil {
				return nil, err
			}
		}
	}
	return v, nil
}

func (v *View) restore(kind ObjectKind, name string, o Object) error {
	if _, twice := v.objects.get(o.Name); twice || o.Revision < 0 {
		return fmt.Errorf("object %q with revision %d is out of order", o.Name, o.Revision)
	}
	v.revision = max(v.revision, o.Revision)
	if o.Document == nil || string(o.Document) == "null" {
		v.objects.set(o.Name, entry{revision: o.Revision})
		return nil
	}
	if why := v.replace(kind, name, o.Revision, o.Document); len(why) > 0 {
		return &InvalidError{Object: o.Name, Reasons: why}
	}
	return nil
}

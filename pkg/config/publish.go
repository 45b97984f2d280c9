package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Publish returns a view with a publish applied at the revision at. If the publish is rejected, the error is a
// *ConflictError, *InvalidError or *UnknownError.
func (v *View) Publish(at ids.Revision, p *record.Publish) (*View, error) {
	kind, name, err := SplitObject(p.Object)
	if err != nil {
		return nil, err
	}
	current := ids.NoRevision
	if e, ok := v.objects.get(p.Object); ok {
		current = e.revision
	}
	// Two records of one batch have the same offset. Without at <= current, two documents of an object could have the
	// same revision.
	if p.Base != current || at <= current {
		return nil, &ConflictError{Object: p.Object, Base: p.Base, Current: current}
	}
	next := *v
	problems := next.replace(kind, name, at, p.Document)
	if len(problems) > 0 {
		return nil, &InvalidError{Object: p.Object, Reasons: problems}
	}
	next.revision = max(next.revision, at)
	return &next, nil
}

// replace sets or removes an object. It modifies the view, which must not be visible to readers yet.
func (v *View) replace(kind ObjectKind, name string, at ids.Revision, document json.RawMessage) (problems []string) {
	if len(document) == 0 {
		return []string{"no document"}
	}
	object := ObjectName(kind, name)
	e := entry{revision: at}
	switch before, _ := v.objects.get(object); {
	case string(document) != "null":
		e.document, problems = v.setObject(kind, name, at, document)
	case before.document == nil:
		problems = []string{"there is no object to remove"}
	default:
		problems = v.removeObject(kind, name)
	}
	v.objects.set(object, e)
	return problems
}

func (v *View) removeObject(kind ObjectKind, name string) (problems []string) {
	if kind == WorkspaceKind {
		v.removeKeys(name)
		v.workspaces.remove(name)
		return nil
	}
	for _, w := range v.workspaces.all {
		if slices.Contains(w.Templates, name) {
			problems = append(problems, fmt.Sprintf("workspace %q uses the template", w.ID))
		}
	}
	slices.Sort(problems)
	v.templates.remove(name)
	v.public, _ = v.publicServices()
	return problems
}

func (v *View) setObject(kind ObjectKind, name string, at ids.Revision, document []byte) (data []byte, problems []string) {
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

// canonical decodes a document, encodes it and decodes it again. As a result, a reader that restores a snapshot has the
// same value as one that applied the publish, for example nil for an empty list.
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

func (v *View) setTemplate(t Template) (problems []string) {
	if problems := t.Validate(); len(problems) > 0 {
		return problems
	}
	v.templates.set(t.Name, t)
	v.public, problems = v.publicServices()
	return problems
}

// publicServices returns the services that need no key. A request for one of them does not identify a workspace, so a
// public service must be the same in all templates that have it.
func (v *View) publicServices() (public map[string]Service, problems []string) {
	public = map[string]Service{}
	for _, t := range v.templates.all {
		for _, s := range t.Services {
			if !s.Public {
				continue
			}
			if other, ok := public[s.Name]; ok && !reflect.DeepEqual(s, other) {
				problems = append(problems, fmt.Sprintf("public service %q differs between templates", s.Name))
			}
			public[s.Name] = s
		}
	}
	return public, slices.Compact(slices.Sorted(slices.Values(problems)))
}

func (v *View) setWorkspace(w Workspace) (problems []string) {
	if problems := w.Validate(); len(problems) > 0 {
		return problems
	}
	for _, name := range w.Templates {
		if _, ok := v.templates.get(name); !ok {
			problems = append(problems, fmt.Sprintf("template %q does not exist", name))
		}
	}
	v.removeKeys(string(w.ID))
	for _, k := range w.Keys {
		if o, taken := v.keyOwner(k.SHA256); taken {
			problems = append(problems, fmt.Sprintf("key %q is also a key of workspace %q", k.Label, o.workspace))
		}
		bucket, _ := v.keys.get(bucketOf(k.SHA256))
		v.keys.set(bucketOf(k.SHA256), append(slices.Clone(bucket), keyOwner{key: k, workspace: w.ID}))
	}
	v.workspaces.set(string(w.ID), w)
	return problems
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

// restoreView builds a view from the objects of a snapshot. Templates come first because workspaces refer to them.
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
		return fmt.Errorf("object %q with revision %d: the name is given twice or the revision is negative", o.Name, o.Revision)
	}
	v.revision = max(v.revision, o.Revision)
	if o.Document == nil || string(o.Document) == "null" {
		v.objects.set(o.Name, entry{revision: o.Revision})
		return nil
	}
	if problems := v.replace(kind, name, o.Revision, o.Document); len(problems) > 0 {
		return &InvalidError{Object: o.Name, Reasons: problems}
	}
	return nil
}

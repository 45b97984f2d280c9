package configcheck

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"github.com/comfreylink/comfreylink/internal/call"
)

// Kind says how an entry differs from the version in force.
type Kind string

// Kinds of differences.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is a difference of one entry. The index of a removed entry is that in the version in force. Of added and removed
// entries, Fields holds only the number of keys.
type Change struct {
	Kind   Kind
	Place  Place
	Fields []FieldChange
}

// FieldChange is a difference of one field. Of keys, only the numbers of added and removed ones are known.
type FieldChange struct {
	Field    Field
	Old, New string
	// KeysAdded and KeysRemoved are set instead of Old and New if the field holds keys.
	KeysAdded, KeysRemoved int
}

// Compare returns the differences between the version in force and the next one, in the order of sections and entries. Entries
// are the same if they have the same name.
func Compare(inForce, next call.Config) []Change {
	var l []Change
	if fields := changedFields(inForce, next); len(fields) > 0 {
		l = append(l, Change{Kind: Changed, Place: Place{Section: Root}, Fields: fields})
	}
	if fields := changedFields(inForce.Limits, next.Limits); len(fields) > 0 {
		l = append(l, Change{Kind: Changed, Place: Place{Section: Limits}, Fields: fields})
	}
	l = append(l, compareLists(Routes, inForce.Routes, next.Routes, func(r call.Route) string { return r.Name })...)
	l = append(l, compareLists(Services, inForce.Services, next.Services, func(s call.Service) string { return string(s.Name) })...)
	l = append(l, compareLists(Workspaces, inForce.Workspaces, next.Workspaces, func(w call.Workspace) string { return string(w.ID) })...)
	for i, c := range l {
		if c.Place.Section != Workspaces {
			continue
		}
		switch c.Kind {
		case Added:
			l[i].Fields = changedKeys(nil, next.Workspaces[c.Place.Index].Keys)
		case Removed:
			l[i].Fields = changedKeys(inForce.Workspaces[c.Place.Index].Keys, nil)
		}
	}
	return l
}

// CheckVersion checks that instances will take the next version if it has changes: they ignore one whose number is not above
// that in force.
func CheckVersion(inForce, next call.Config, changes []Change) []Finding {
	p := Place{Section: Root}
	if next.Version > inForce.Version || len(changes) == 0 {
		return nil
	}
	return []Finding{{
		Severity: Error, Place: p, Field: "Version",
		Message: fmt.Sprintf("is %d, which is not above the %d in force, so instances ignore it", next.Version, inForce.Version),
	}}
}

// compareLists compares the entries of a section by their names. Of several with one name, the first is compared with the
// first and so on.
func compareLists[T any](section Section, inForce, next []T, name func(T) string) (l []Change) {
	old := make(map[string][]int)
	for i, e := range inForce {
		old[name(e)] = append(old[name(e)], i)
	}
	for i, e := range next {
		p := Place{Section: section, Index: i, Name: name(e)}
		same := old[p.Name]
		if len(same) == 0 {
			l = append(l, Change{Kind: Added, Place: p})
			continue
		}
		old[p.Name] = same[1:]
		if fields := changedFields(inForce[same[0]], e); len(fields) > 0 {
			l = append(l, Change{Kind: Changed, Place: p, Fields: fields})
		}
	}
	var removed []int
	for _, rest := range old {
		removed = append(removed, rest...)
	}
	slices.Sort(removed)
	for _, i := range removed {
		l = append(l, Change{Kind: Removed, Place: Place{Section: section, Index: i, Name: name(inForce[i])}})
	}
	return l
}

// changedFields compares all fields of two structs of one type, so that a field that is added to the type is compared too.
func changedFields(inForce, next any) (l []FieldChange) {
	a, b := reflect.ValueOf(inForce), reflect.ValueOf(next)
	for i := range a.NumField() {
		field, before, after := Field(a.Type().Field(i).Name), a.Field(i), b.Field(i)
		switch {
		case hasOwnSection(field, a.Type()) || reflect.DeepEqual(before.Interface(), after.Interface()):
		case field == keysField && a.Type() == reflect.TypeFor[call.Workspace]():
			l = append(l, changedKeys(before.Interface().([]string), after.Interface().([]string))...)
		case before.Kind() == reflect.Pointer && !before.IsNil() && !after.IsNil():
			for _, inner := range changedFields(before.Elem().Interface(), after.Elem().Interface()) {
				inner.Field = field + "." + inner.Field
				l = append(l, inner)
			}
		default:
			l = append(l, FieldChange{Field: field, Old: text(before), New: text(after)})
		}
	}
	return l
}

// ignoredField is the field of call.Config with what could not be used of the record. It is reported as findings.
const ignoredField = "Ignored"

// keysField is the field of call.Workspace that must not be shown.
const keysField = "Keys"

// hasOwnSection reports whether a field of the configuration is compared as a section of its own.
func hasOwnSection(f Field, t reflect.Type) bool {
	sections := []Field{"Routes", "Services", "Workspaces", "Limits", ignoredField}
	return t == reflect.TypeFor[call.Config]() && slices.Contains(sections, f)
}

// changedKeys compares two lists of keys and returns only the numbers of those that differ. Their order does not matter.
func changedKeys(inForce, next []string) []FieldChange {
	missing := func(from, in []string) (n int) {
		for _, k := range from {
			if !slices.Contains(in, k) {
				n++
			}
		}
		return n
	}
	c := FieldChange{Field: keysField, KeysAdded: missing(next, inForce), KeysRemoved: missing(inForce, next)}
	if c.KeysAdded == 0 && c.KeysRemoved == 0 {
		return nil // in another order
	}
	return []FieldChange{c}
}

// text returns the value of a field as it is shown.
func text(v reflect.Value) string {
	if v.Kind() != reflect.Pointer {
		return fmt.Sprintf("%+v", v.Interface())
	}
	if v.IsNil() {
		return "none"
	}
	return fmt.Sprintf("%+v", v.Elem().Interface())
}

// Sort orders findings by section, entry and severity, and otherwise leaves their order.
func Sort(l []Finding) {
	rank := map[Severity]int{Error: 0, Warning: 1}
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Place.Section, b.Place.Section), cmp.Compare(a.Place.Index, b.Place.Index), cmp.Compare(rank[a.Severity], rank[b.Severity]),
		)
	})
}

package config

import (
	"slices"
	"strings"
)

// Templates returns all templates, sorted by name. Its cost does not depend on the number of workspaces. The templates
// share their slices with the view and must not be modified.
func (v *View) Templates() []Template {
	var list []Template
	for _, t := range v.templates.all {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b Template) int { return strings.Compare(a.Name, b.Name) })
	return list
}

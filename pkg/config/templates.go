package config

import (
	"slices"
	"strings"
)

// Templates returns every template by name. The time does not depend on the number of workspaces. The templates share
// their lists with the view and must not be modified.
func (v *View) Templates() []Template {
	var list []Template
	for _, t := range v.templates.all {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b Template) int { return strings.Compare(a.Name, b.Name) })
	return list
}

package config

import (
	"strings"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// ChangedSince returns the workspaces whose revision is higher than r, including removed ones, in no particular order.
func (v *View) ChangedSince(r ids.Revision) (l []ids.WorkspaceID) {
	prefix := ObjectName(WorkspaceKind, "")
	for object, e := range v.objects.all {
		if name, ok := strings.CutPrefix(object, prefix); ok && e.revision > r {
			l = append(l, ids.WorkspaceID(name))
		}
	}
	return l
}

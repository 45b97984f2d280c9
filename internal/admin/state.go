package admin

import (
	"strings"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Part is a part of the daemon whose state /status and /dump show. The functions return typed values that are encoded as
// JSON and hold no secrets. They may be called at any time.
type Part struct {
	Name string
	// Status returns a summary of the state.
	Status func() any
	// Dump returns the whole state. If it is nil, /dump shows the result of Status.
	Dump func() any
}

// report is the response of /status and /dump.
type report struct {
	Instance ids.InstanceID `json:"instance"`
	Parts    []partReport   `json:"parts"`
}

type partReport struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

// status returns the summaries of all parts.
func status(parts []Part) (list []partReport) {
	for _, p := range parts {
		list = append(list, partReport{Name: p.Name, State: p.Status()})
	}
	return list
}

// dump returns the whole states of all parts.
func dump(parts []Part) (list []partReport) {
	for _, p := range parts {
		state := p.Dump
		if state == nil {
			state = p.Status
		}
		list = append(list, partReport{Name: p.Name, State: state()})
	}
	return list
}

// configStatus is a summary of the configuration.
type configStatus struct {
	Revision   ids.Revision `json:"revision"`
	Templates  int          `json:"templates"`
	Workspaces int          `json:"workspaces"`
}

// configObject is an object of the configuration without its document, which may hold key hashes.
type configObject struct {
	Object   string       `json:"object"`
	Revision ids.Revision `json:"revision"`
	Removed  bool         `json:"removed,omitempty"`
}

// ConfigPart returns the part that shows the configuration in force, without documents. `comfreylink get` prints them.
func ConfigPart(current func() *config.View) Part {
	return Part{
		Name: "config",
		Status: func() any {
			v := current()
			s := configStatus{Revision: v.Revision()}
			for _, o := range v.Objects() {
				switch {
				case o.Document == nil:
				case strings.HasPrefix(o.Name, string(config.TemplateKind)):
					s.Templates++
				default:
					s.Workspaces++
				}
			}
			return s
		},
		Dump: func() any {
			var list []configObject
			for _, o := range current().Objects() {
				list = append(list, configObject{Object: o.Name, Revision: o.Revision, Removed: o.Document == nil})
			}
			return list
		},
	}
}

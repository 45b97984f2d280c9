package admin

import (
	"strings"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Part is a part of the daemon that shows its state. The functions return typed values for JSON, without secrets, and
// may be called at any time.
type Part struct {
	Name string
	// Status returns the state in short.
	Status func() any
	// Dump returns the whole state; nil if Status does.
	Dump func() any
}

// report is the answer of /status and /dump.
type report struct {
	Instance ids.InstanceID `json:"instance"`
	Parts    []partReport   `json:"parts"`
}

type partReport struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

func status(parts []Part) (list []partReport) {
	for _, p := range parts {
		list = append(list, partReport{Name: p.Name, State: p.Status()})
	}
	return list
}

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

// configStatus is the state of the configuration in short.
type configStatus struct {
	Revision   ids.Revision `json:"revision"`
	Templates  int          `json:"templates"`
	Workspaces int          `json:"workspaces"`
}

// configObject is an object without its document, which holds key hashes.
type configObject struct {
	Object   string       `json:"object"`
	Revision ids.Revision `json:"revision"`
	Removed  bool         `json:"removed,omitempty"`
}

// ConfigPart shows the configuration in force. Documents are left out; `comfreylink get` prints them.
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

// Package document converts templates and workspaces between the INI files that operators write and the JSON documents
// of the config stream.
package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/comfreylink/comfreylink/internal/inifile"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Defaults for values that a file omits.
const (
	defaultMaxInFlight     = 8
	defaultMaxTokens       = 4096
	defaultMaxTurns        = 230
	defaultIdleTimeout     = 30 * time.Minute
	defaultDeadline        = 2 * time.Minute
	defaultServiceDeadline = 30 * time.Second
	defaultWeight          = 1
)

// Load reads and parses the INI file of a template or workspace.
func Load(path string) (p *record.Publish, err error) {
	defer func() { err = oops.In("document").With("file", path).Wrapf(err, "read the document") }()
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse parses the INI file of a template or workspace. It returns a publish without a base, whose document has been
// validated on its own. The error lists all problems of the document.
func Parse(file string, data []byte) (p *record.Publish, err error) {
	f, err := inifile.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var object string
	var document any
	var problems []string
	switch template, workspace := f.Has("template"), f.Has("workspace"); {
	case template == workspace:
		return nil, fmt.Errorf("%s: want either a section [template] or a section [workspace]", file)
	case template:
		t := readTemplate(f)
		object, document, problems = config.ObjectName(config.TemplateKind, t.Name), t, t.Validate()
	default:
		w := readWorkspace(f)
		object, document, problems = config.ObjectName(config.WorkspaceKind, string(w.ID)), w, w.Validate()
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("%s: %w", file, &config.InvalidError{Object: object, Reasons: problems})
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &record.Publish{Object: object, Base: ids.NoRevision, Document: encoded}, nil
}

func readTemplate(f *inifile.File) (t config.Template) {
	head := f.Section("template")
	t.Name = head.Required("name")
	head.Close()
	program := f.Section("program")
	t.Program = config.Program{
		MaxTurns:        int(count(program, "maxTurns", defaultMaxTurns)),
		IdleTimeout:     duration(program, "idleTimeout", defaultIdleTimeout),
		DefaultDeadline: duration(program, "defaultDeadline", defaultDeadline),
	}
	program.Close()
	for _, name := range f.Named("model") {
		t.Models = append(t.Models, readModel(f.Section("model "+name), name))
	}
	for _, name := range f.Named("service") {
		t.Services = append(t.Services, readService(f.Section("service "+name), name))
	}
	return t
}

func readModel(s *inifile.Section, name string) config.Model {
	defer s.Close()
	return config.Model{
		Model:            ids.ModelID(name),
		Pool:             ids.PoolID(s.Required("pool")),
		MaxInFlight:      int(count(s, "maxInFlight", defaultMaxInFlight)),
		DefaultMaxTokens: ids.Tokens(count(s, "defaultMaxTokens", defaultMaxTokens)),
	}
}

func readService(s *inifile.Section, name string) config.Service {
	defer s.Close()
	return config.Service{
		Name:              name,
		Pool:              ids.PoolID(s.Required("pool")),
		IdempotentMethods: s.List("repeatableMethods"),
		Public:            s.Bool("public", false),
		ChecksFencing:     s.Bool("checksFencing", false),
		Deadline:          duration(s, "deadline", defaultServiceDeadline),
	}
}

func readWorkspace(f *inifile.File) (w config.Workspace) {
	s := f.Section("workspace")
	defer s.Close()
	w.ID = ids.WorkspaceID(s.Required("name"))
	w.Templates = s.List("templates")
	w.Rate = s.Float("rate", 0, 0, math.MaxFloat64)
	w.Burst = int(count(s, "burst", 0))
	w.Budget = ids.Tokens(count(s, "budget", 0))
	w.Weight = int(count(s, "weight", defaultWeight))
	for _, label := range f.Named("key") {
		w.Keys = append(w.Keys, readKey(f.Section("key "+label), label))
	}
	return w
}

func readKey(s *inifile.Section, label string) (k config.KeyInfo) {
	defer s.Close()
	k.Label = label
	k.ExpiresAt = s.Time("expiresAt")
	if err := k.SHA256.UnmarshalText([]byte(s.Required("sha256"))); err != nil {
		s.Fail("sha256", "%s", err)
	}
	return k
}

// count and duration leave the bounds to package config, so that the fold of the config stream checks them as well.

func count(s *inifile.Section, key string, defaultValue int64) int64 {
	return s.Int(key, defaultValue, math.MinInt32, math.MaxInt64)
}

func duration(s *inifile.Section, key string, defaultValue time.Duration) config.Duration {
	return config.Duration(s.Duration(key, defaultValue, math.MinInt64, math.MaxInt64))
}

// Format returns the INI file of an object.
func Format(o config.Object) (data []byte, err error) {
	kind, name, err := config.SplitObject(o.Name)
	if err != nil {
		return nil, err
	}
	if o.Document == nil {
		return nil, errors.New("the object was removed")
	}
	var b strings.Builder
	if kind == config.TemplateKind {
		var t config.Template
		if err := json.Unmarshal(o.Document, &t); err != nil {
			return nil, fmt.Errorf("decode %s: %w", o.Name, err)
		}
		t.Name = name
		writeTemplate(&b, t)
		return []byte(b.String()), nil
	}
	var w config.Workspace
	if err := json.Unmarshal(o.Document, &w); err != nil {
		return nil, fmt.Errorf("decode %s: %w", o.Name, err)
	}
	w.ID = ids.WorkspaceID(name)
	writeWorkspace(&b, w)
	return []byte(b.String()), nil
}

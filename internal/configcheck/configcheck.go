// Package configcheck checks a configuration of the gateway before it is published, and compares it with the one in force.
// Its results name places and fields by the types of package call; the platform's adapter translates them to the names in
// the operator's file.
package configcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
)

// Severity says whether a configuration with the finding may be published.
type Severity string

// Severities. An Error breaks requests or is rejected by the gateways; a Warning is probably not what the operator meant.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Section is a part of the configuration.
type Section int

// Sections, in the order of the output. Root holds the fields of call.Config itself.
const (
	Root Section = iota
	Limits
	Routes
	Services
	Workspaces
)

// Place is an entry of a section.
type Place struct {
	Section Section
	// Index is the position in the section's list, from 0. It is not used in Root and Limits.
	Index int
	Name  string
}

// Field is the name of a field in the entry's type of package call; empty for the whole entry.
type Field string

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity
	Place    Place
	Field    Field
	Message  string
}

// FieldError is a fault that prevents a configuration from being decoded. Place and Field are those of the operator's file.
// Message contains no values from the file, since they may be keys.
type FieldError struct {
	Place   string
	Field   string
	Message string
}

// FieldErrors are all such faults of a file.
type FieldErrors []FieldError

// Error implements error.
func (l FieldErrors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = strings.Trim(e.Place+"."+e.Field, ".") + ": " + e.Message
	}
	return strings.Join(lines, "; ")
}

// Options holds what a check needs to know beside the configuration.
type Options struct {
	// LogRetention is how long the platform's log keeps records; 0 if it keeps all.
	LogRetention time.Duration
	// Targets are the registered targets; nil if they are not known.
	Targets []call.Target
	// TargetRegions are the regions that have targets; nil if they are not known.
	TargetRegions map[string]bool
}

// Check returns the findings of a configuration, in the order of its sections and entries.
func Check(c call.Config, o Options) []Finding {
	k := &checker{config: c, table: call.NewTable(c), options: o}
	k.root()
	k.limits()
	k.routes()
	k.services()
	k.workspaces()
	k.regions()
	return k.findings
}

// checker collects the findings of one check.
type checker struct {
	config   call.Config
	table    *call.Table
	options  Options
	findings []Finding
}

func (k *checker) error(p Place, f Field, format string, args ...any) {
	k.findings = append(k.findings, Finding{Severity: Error, Place: p, Field: f, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) warn(p Place, f Field, format string, args ...any) {
	k.findings = append(k.findings, Finding{Severity: Warning, Place: p, Field: f, Message: fmt.Sprintf(format, args...)})
}

// notNegative reports values that the gateway would silently replace by a default.
func notNegative[T int | int64 | float64 | time.Duration](k *checker, p Place, f Field, v T) {
	if v < 0 {
		k.error(p, f, "is negative")
	}
}

// root checks that there is something to serve, which an empty file does not have, and reports the values that were left out.
func (k *checker) root() {
	p := Place{Section: Root}
	for _, reason := range k.config.Ignored {
		k.warn(p, "", "%s; the value is left out", reason)
	}
	if len(k.config.Routes) == 0 {
		k.error(p, "Routes", "are missing, so all requests are refused")
	}
	if len(k.config.Workspaces) == 0 {
		k.warn(p, "Workspaces", "are missing, so only public routes can be used")
	}
}

func (k *checker) limits() {
	l, p := k.config.Limits, Place{Section: Limits}
	notNegative(k, p, "HeaderBytes", l.HeaderBytes)
	notNegative(k, p, "BodyBytes", l.BodyBytes)
	notNegative(k, p, "HeaderTimeout", l.HeaderTimeout)
	notNegative(k, p, "IdleTimeout", l.IdleTimeout)
}

// names reports entries of one section that have no name or the name of an earlier one.
type names map[string]int

// check checks the name of one entry. consequence says what happens if it is the name of an earlier one.
func (n names) check(k *checker, p Place, f Field, severity Severity, consequence string) {
	first, ok := n[p.Name]
	switch {
	case p.Name == "":
		k.error(p, f, "is missing")
	case ok:
		k.findings = append(k.findings, Finding{
			Severity: severity, Place: p, Field: f, Message: fmt.Sprintf("is the name of entry %d too; %s", first, consequence),
		})
	default:
		n[p.Name] = p.Index
	}
}

package config

import (
	"fmt"
	"regexp"
	"slices"
	"time"
)

// Bounds on values, which reject documents with typing errors such as a missing unit.
const (
	minRate        = 0.001 // requests a second; package rate counts thousandths
	maxRate        = 1e6   // requests a second
	maxBurst       = 1_000_000
	maxWeight      = 1000
	maxInFlight    = 10_000
	maxTurns       = 100_000
	maxTokens      = 1_000_000_000_000
	maxListLength  = 1000
	maxDeadline    = Duration(24 * time.Hour)
	maxIdleTimeout = Duration(30 * 24 * time.Hour)
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// reasons collects descriptions of the rules that a document breaks.
type reasons []string

func (r *reasons) check(ok bool, format string, args ...any) {
	if !ok {
		*r = append(*r, fmt.Sprintf(format, args...))
	}
}

func (r *reasons) name(what, name string) {
	r.check(namePattern.MatchString(name), "%s %q: want up to 63 lower-case letters, digits and hyphens", what, name)
}

func (r *reasons) unique(what string, names []string) {
	r.check(len(names) <= maxListLength, "more than %d entries of kind %s", maxListLength, what)
	slices.Sort(names)
	for i := 1; i < len(names); i++ {
		r.check(names[i] != names[i-1], "%s %q is given twice", what, names[i])
	}
}

func (r *reasons) duration(what string, d, maximum Duration) {
	r.check(d > 0 && d <= maximum, "%s %s: want more than 0s and at most %s", what, d, maximum)
}

func (r *reasons) count(what string, n, maximum int64) {
	r.check(n >= 1 && n <= maximum, "%s %d: want 1 to %d", what, n, maximum)
}

// Validate returns the rules that the template breaks. It does not check the template against other objects.
func (t Template) Validate() []string {
	var r reasons
	r.name("template name", t.Name)
	r.check(len(t.Models)+len(t.Services) > 0, "neither models nor services")
	var names []string
	for _, m := range t.Models {
		names = append(names, string(m.Model))
		m.validate(&r)
	}
	r.unique("model", names)
	names = nil
	for _, s := range t.Services {
		names = append(names, s.Name)
		s.validate(&r)
	}
	r.unique("service", names)
	r.count("program maxTurns", int64(t.Program.MaxTurns), maxTurns)
	r.duration("program idleTimeout", t.Program.IdleTimeout, maxIdleTimeout)
	r.duration("program defaultDeadline", t.Program.DefaultDeadline, maxDeadline)
	return r
}

func (m Model) validate(r *reasons) {
	r.check(modelPattern.MatchString(string(m.Model)), "model name %q: want up to 128 letters, digits and ._:/-, with a letter or digit first", m.Model)
	r.name("pool of model "+string(m.Model)+":", string(m.Pool))
	r.count("maxInFlight of model "+string(m.Model), int64(m.MaxInFlight), maxInFlight)
	r.count("defaultMaxTokens of model "+string(m.Model), int64(m.DefaultMaxTokens), maxTokens)
}

func (s Service) validate(r *reasons) {
	r.name("service name", s.Name)
	r.name("pool of service "+s.Name+":", string(s.Pool))
	r.duration("deadline of service "+s.Name, s.Deadline, maxDeadline)
	for _, m := range s.IdempotentMethods {
		r.check(methodPattern.MatchString(m), "repeatable method %q of service %s: want up to 16 capital letters", m, s.Name)
	}
	r.unique("repeatable method of service "+s.Name, slices.Clone(s.IdempotentMethods))
}

// Validate returns the rules that the workspace breaks. It does not check the workspace against other objects.
func (w Workspace) Validate() []string {
	var r reasons
	r.name("workspace name", string(w.ID))
	r.check(len(w.Templates) > 0, "no templates")
	r.unique("template", slices.Clone(w.Templates))
	r.check(w.Rate >= minRate && w.Rate <= maxRate, "rate %v: want %v to %v", w.Rate, minRate, maxRate)
	r.count("burst", int64(w.Burst), maxBurst)
	r.count("budget", int64(w.Budget), maxTokens)
	r.count("weight", int64(w.Weight), maxWeight)
	var labels, hashes []string
	for _, k := range w.Keys {
		r.name("key label", k.Label)
		r.check(k.SHA256 != KeyHash{}, "key %q has no hash", k.Label)
		labels = append(labels, k.Label)
		hashes = append(hashes, string(k.SHA256[:]))
	}
	r.unique("key label", labels)
	slices.Sort(hashes)
	r.check(len(slices.Compact(hashes)) == len(w.Keys), "two keys with the same hash")
	return r
}

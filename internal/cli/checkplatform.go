package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/configcheck"
)

// ConfigSource reads the configurations of a platform.
type ConfigSource struct {
	// Decode decodes a configuration. Its errors wrap configcheck.FieldErrors.
	Decode func(data []byte) (call.Config, error)
	// Place returns the place and the field of a finding as they are called in the file.
	Place func(configcheck.Place, configcheck.Field) (place, field string)
	// ReadLog reads the configuration in force and the registered targets from the log at the address. The configuration is nil
	// if there is none.
	ReadLog func(ctx context.Context, address string) (inForce []byte, targets []call.Target, err error)
}

// Exit codes of check --platform, which are those of other tools that check or compare.
const (
	checkClean    ExitCode = 0
	checkWarnings ExitCode = 1
	checkErrors   ExitCode = 2
)

// platformResult is the result of check --platform as --json prints it.
type platformResult struct {
	Findings []findingResult `json:"findings"`
	// Changes is null if the configuration was not compared with another one.
	Changes []changeResult `json:"changes"`
}

type findingResult struct {
	Severity configcheck.Severity `json:"severity"`
	Place    string               `json:"place,omitempty"`
	Name     string               `json:"name,omitempty"`
	Field    string               `json:"field,omitempty"`
	Message  string               `json:"message"`
}

type changeResult struct {
	Kind   configcheck.Kind    `json:"kind"`
	Place  string              `json:"place,omitempty"`
	Name   string              `json:"name,omitempty"`
	Fields []fieldChangeResult `json:"fields,omitempty"`
}

type fieldChangeResult struct {
	Field       string `json:"field"`
	Old         string `json:"old,omitempty"`
	New         string `json:"new,omitempty"`
	KeysAdded   int    `json:"keysAdded,omitempty"`
	KeysRemoved int    `json:"keysRemoved,omitempty"`
}

// checkPlatform checks a configuration of the platform. Errors that prevent the check have the same exit code as faults of the
// configuration.
func checkPlatform(ctx context.Context, r *run) error {
	source := r.runners.PlatformConfig
	if source.Decode == nil {
		return errNotLinked
	}
	if r.String("settings") != "" || r.Args().Present() {
		return &UsageError{Reason: "--platform cannot be combined with --settings or FILE"}
	}
	if r.String("against") != "" && r.String("log") != "" {
		return &UsageError{Reason: "--against cannot be combined with --log"}
	}
	data, err := os.ReadFile(r.String("platform"))
	if err != nil {
		return &statusError{code: checkErrors, err: err}
	}
	v, err := r.readVersionInForce(ctx, source)
	if err != nil {
		return &statusError{code: checkErrors, err: err}
	}
	result, err := r.checkRecord(source, data, v)
	if err != nil {
		return &statusError{code: checkErrors, err: err}
	}
	if r.out.json {
		err = r.out.encode(result)
	} else {
		err = result.print(r.out.stderr)
	}
	if err != nil {
		return err
	}
	if code := result.exitCode(r.Bool("fail-on-difference")); code != checkClean {
		return &statusError{code: code}
	}
	return nil
}

// versionInForce is what a configuration is compared with.
type versionInForce struct {
	known   bool // false if the command line names no version
	config  call.Config
	targets []call.Target // nil if not known
}

// readVersionInForce reads the version in force that the command line names.
func (r *run) readVersionInForce(ctx context.Context, source ConfigSource) (v versionInForce, err error) {
	var data []byte
	switch {
	case r.String("against") != "":
		data, err = os.ReadFile(r.String("against"))
	case r.String("log") != "":
		ctx, cancel := context.WithTimeout(ctx, r.Duration("timeout"))
		defer cancel()
		data, v.targets, err = source.ReadLog(ctx, r.String("log"))
	default:
		return v, nil
	}
	if err != nil {
		return v, fmt.Errorf("read the configuration in force: %w", err)
	}
	v.known = true
	if data == nil {
		return v, nil
	}
	if v.config, err = source.Decode(data); err != nil {
		return v, fmt.Errorf("decode the configuration in force: %w", faultsOf(err))
	}
	return v, nil
}

// faultsOf returns the faults that an error of decoding wraps, without the text around them. Other errors are returned as they
// are.
func faultsOf(err error) error {
	var faults configcheck.FieldErrors
	if errors.As(err, &faults) {
		return faults
	}
	return err
}

// checkRecord decodes, checks and compares a configuration. It returns an error if the configuration is faulty in a way that
// has no place.
func (r *run) checkRecord(source ConfigSource, data []byte, inForce versionInForce) (result platformResult, err error) {
	result.Findings = []findingResult{}
	next, err := source.Decode(data)
	var faults configcheck.FieldErrors
	if errors.As(err, &faults) {
		for _, f := range faults {
			result.Findings = append(result.Findings, findingResult{Severity: configcheck.Error, Place: f.Place, Field: f.Field, Message: f.Message})
		}
		return result, nil
	}
	if err != nil {
		return result, err
	}
	options := configcheck.Options{LogRetention: r.Duration("log-retention"), Targets: inForce.targets}
	if options.TargetRegions, err = targetRegions(r, inForce.targets); err != nil {
		return result, err
	}
	findings := configcheck.Check(next, options)
	if inForce.known {
		changes := configcheck.Compare(inForce.config, next)
		findings = append(findings, configcheck.CheckVersion(inForce.config, next, changes)...)
		result.Changes = []changeResult{}
		for _, c := range changes {
			result.Changes = append(result.Changes, newChangeResult(source, c))
		}
	}
	configcheck.Sort(findings)
	for _, f := range findings {
		place, field := source.Place(f.Place, f.Field)
		result.Findings = append(result.Findings, findingResult{Severity: f.Severity, Place: place, Name: f.Place.Name, Field: field, Message: f.Message})
	}
	return result, nil
}

func newChangeResult(source ConfigSource, c configcheck.Change) changeResult {
	place, _ := source.Place(c.Place, "")
	result := changeResult{Kind: c.Kind, Place: place, Name: c.Place.Name}
	for _, f := range c.Fields {
		_, field := source.Place(c.Place, f.Field)
		result.Fields = append(result.Fields, fieldChangeResult{Field: field, Old: f.Old, New: f.New, KeysAdded: f.KeysAdded, KeysRemoved: f.KeysRemoved})
	}
	return result
}

// exitCode returns the exit code for what was found. Differences count only if failOnDifference is set.
func (p platformResult) exitCode(failOnDifference bool) ExitCode {
	code := checkClean
	for _, f := range p.Findings {
		if f.Severity == configcheck.Error {
			return checkErrors
		}
		code = checkWarnings
	}
	if failOnDifference && len(p.Changes) > 0 {
		code = checkWarnings
	}
	return code
}

// print writes one line for each finding and each difference.
func (p platformResult) print(w io.Writer) error {
	var b strings.Builder
	for _, f := range p.Findings {
		fmt.Fprintf(&b, "%s: %s: %s\n", f.Severity, describe(f.Place, f.Name, f.Field), f.Message)
	}
	for _, c := range p.Changes {
		if c.Kind != configcheck.Changed {
			fmt.Fprintf(&b, "%s: %s\n", c.Kind, describe(c.Place, c.Name, ""))
		}
		for _, f := range c.Fields {
			fmt.Fprintf(&b, "%s: %s: %s\n", c.Kind, describe(c.Place, c.Name, f.Field), f.text())
		}
	}
	switch {
	case len(p.Findings) == 0:
		b.WriteString("valid")
	case p.exitCode(false) == checkErrors:
		b.WriteString("invalid")
	default:
		b.WriteString("valid, with warnings")
	}
	if p.Changes != nil {
		fmt.Fprintf(&b, "; %d entries differ from the version in force", len(p.Changes))
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}

func (f fieldChangeResult) text() string {
	if f.KeysAdded > 0 || f.KeysRemoved > 0 {
		return fmt.Sprintf("%d added, %d removed", f.KeysAdded, f.KeysRemoved)
	}
	return fmt.Sprintf("%q -> %q", f.Old, f.New)
}

// describe returns a place as people read it, such as: Routes[2] "chat", Kind
func describe(place, name, field string) string {
	if name != "" {
		place = fmt.Sprintf("%s %q", place, name)
	}
	if place == "" || field == "" {
		return place + field
	}
	return place + ", " + field
}

// targetRegions returns the regions that have registered targets; nil if the targets or the regions of zones are not given.
func targetRegions(r *run, targets []call.Target) (regions map[string]bool, err error) {
	if targets == nil || !r.IsSet("zones") {
		return nil, nil
	}
	zones, err := parseZones(r.String("zones"))
	if err != nil {
		return nil, err
	}
	regions = make(map[string]bool)
	for _, t := range targets {
		regions[zones[t.Zone]] = true
	}
	return regions, nil
}

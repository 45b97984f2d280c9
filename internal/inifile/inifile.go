// Package inifile reads INI files strictly: every section and key must be known, and all errors are reported at once.
package inifile

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Error describes what is wrong with a section or key of a file.
type Error struct {
	File    string
	Section string
	// Key is empty if the error concerns the whole section.
	Key    string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", e.File, e.Section, e.Reason)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", e.File, e.Section, e.Key, e.Reason)
}

// File is a parsed file. Reading its sections collects errors, which Err returns together.
type File struct {
	name string
	ini  *ini.File
	// known holds the names of the sections that were read or already reported as unknown.
	known map[string]bool
	errs  []error
}

// Parse parses the contents of an INI file. The name is used in errors only.
func Parse(name string, data []byte) (f *File, err error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00", // a dot in a section's name must not inherit keys
	}, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &File{name: name, ini: parsed, known: map[string]bool{}}, nil
}

// Has reports whether the file has a section.
func (f *File) Has(section string) bool { return f.ini.HasSection(section) }

// Section returns a section and marks it as known. A section that is missing from the file has no keys.
func (f *File) Section(name string) *Section {
	f.known[name] = true
	s := &Section{file: f, name: name, read: map[string]bool{}}
	if !f.ini.HasSection(name) {
		return s
	}
	found, err := f.ini.SectionsByName(name)
	if err != nil {
		f.fail(name, "", err.Error())
		return s
	}
	if len(found) > 1 {
		f.fail(name, "", "the section is given twice")
	}
	s.ini = found[0]
	return s
}

// Named returns the names of the sections [kind NAME] in the order of the file, without duplicates.
func (f *File) Named(kind string) (names []string) {
	for _, s := range f.ini.SectionStrings() {
		first, name, _ := strings.Cut(s, " ")
		if first == kind && name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// fail records an error in a key, or in the section if key is empty.
func (f *File) fail(section, key, reason string) {
	f.errs = append(f.errs, &Error{File: f.name, Section: section, Key: key, Reason: reason})
}

// Err returns all errors, including one for each unknown section. Call it after all sections have been read.
func (f *File) Err() error {
	for _, s := range f.ini.Sections() {
		switch {
		case s.Name() == ini.DefaultSection && len(s.Keys()) > 0:
			f.fail("", s.Keys()[0].Name(), "the key is outside of any section")
		case s.Name() != ini.DefaultSection && !f.known[s.Name()]:
			f.fail(s.Name(), "", "unknown section")
			f.known[s.Name()] = true
		}
	}
	return errors.Join(f.errs...)
}

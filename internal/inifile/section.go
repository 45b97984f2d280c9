package inifile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section reads the keys of one section. A method that cannot read a value records an error and returns the default.
type Section struct {
	file *File
	name string
	ini  *ini.Section
	read map[string]bool
}

// Fail records an error in a key, or in the section if key is empty.
func (s *Section) Fail(key, format string, args ...any) {
	s.file.fail(s.name, key, fmt.Sprintf(format, args...))
}

// value returns the text of a key and whether it is given. It records an error if the value is empty or given twice.
func (s *Section) value(key string) (text string, given bool) {
	s.read[key] = true
	if s.ini == nil {
		return "", false
	}
	for _, k := range s.ini.Keys() {
		if k.Name() != key {
			continue
		}
		values := k.ValueWithShadows()
		if len(values) > 1 {
			s.Fail(key, "the key is given twice")
		}
		if k.Value() == "" {
			s.Fail(key, "the value is empty")
			return "", false
		}
		return k.Value(), true
	}
	return "", false
}

// Text returns a value unchanged.
func (s *Section) Text(key, def string) string {
	if text, given := s.value(key); given {
		return text
	}
	return def
}

// TextOrEmpty returns a value unchanged. It may be empty, as in a file that was filled in from a template without a value.
func (s *Section) TextOrEmpty(key string) string {
	if s.ini != nil && s.ini.HasKey(key) && s.ini.Key(key).Value() == "" && len(s.ini.Key(key).ValueWithShadows()) <= 1 {
		s.read[key] = true
		return ""
	}
	return s.Text(key, "")
}

// Names returns the names of the section's keys in the order of the file, for a section whose keys are not known beforehand.
func (s *Section) Names() (names []string) {
	if s.ini == nil {
		return nil
	}
	return s.ini.KeyStrings()
}

// Required returns a value that has no default.
func (s *Section) Required(key string) string {
	before := len(s.file.errs)
	text, given := s.value(key)
	if !given && len(s.file.errs) == before {
		s.Fail(key, "the key is missing")
	}
	return text
}

// List returns the comma-separated elements of a value.
func (s *Section) List(key string) (elements []string) {
	text, given := s.value(key)
	if !given {
		return nil
	}
	for element := range strings.SplitSeq(text, ",") {
		element = strings.TrimSpace(element)
		if element == "" {
			s.Fail(key, "an element of the list is empty")
			continue
		}
		elements = append(elements, element)
	}
	return elements
}

// OneOf returns a value that must be one of the choices.
func (s *Section) OneOf(key, def string, choices ...string) string {
	text := s.Text(key, def)
	if slices.Contains(choices, text) {
		return text
	}
	s.Fail(key, "%q is not one of %s", text, strings.Join(choices, ", "))
	return def
}

// Bool returns a value that must be true or false.
func (s *Section) Bool(key string, def bool) bool {
	text := s.OneOf(key, strconv.FormatBool(def), "true", "false")
	return text == "true"
}

// Int returns a whole number between least and most.
func (s *Section) Int(key string, def, least, most int64) int64 {
	text, given := s.value(key)
	if !given {
		return def
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.Fail(key, "%q is not a whole number", text)
		return def
	}
	if n < least || n > most {
		s.Fail(key, "%d is not between %d and %d", n, least, most)
		return def
	}
	return n
}

// Float returns a number between least and most.
func (s *Section) Float(key string, def, least, most float64) float64 {
	text, given := s.value(key)
	if !given {
		return def
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) {
		s.Fail(key, "%q is not a number", text)
		return def
	}
	if n < least || n > most {
		s.Fail(key, "%v is not between %v and %v", n, least, most)
		return def
	}
	return n
}

// Duration returns a duration between least and most, written with its unit, such as 200ms or 1m30s.
func (s *Section) Duration(key string, def, least, most time.Duration) time.Duration {
	text, given := s.value(key)
	if !given {
		return def
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.Fail(key, "%q is not a duration with a unit, such as 200ms, 10s or 1h30m", text)
		return def
	}
	if d < least || d > most {
		s.Fail(key, "%s is not between %s and %s", d, least, most)
		return def
	}
	return d
}

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Size returns a number of bytes between least and most, written with the unit B, KiB, MiB or GiB.
func (s *Section) Size(key string, def, least, most int64) int64 {
	text, given := s.value(key)
	if !given {
		return def
	}
	n, ok := parseSize(text)
	if !ok {
		s.Fail(key, "%q is not a size with a unit, such as 512B, 64KiB, 1MiB or 1GiB", text)
		return def
	}
	if n < least || n > most {
		s.Fail(key, "%s is not between %dB and %dB", text, least, most)
		return def
	}
	return n
}

func parseSize(text string) (n int64, ok bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/unit.bytes {
			return 0, false
		}
		return n * unit.bytes, true
	}
	return 0, false
}

// Time returns a time in RFC 3339 form, or the zero time if the key is not given.
func (s *Section) Time(key string) time.Time {
	text, given := s.value(key)
	if !given {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		s.Fail(key, "%q is not a time such as 2026-12-31T23:59:59Z", text)
	}
	return t
}

// Close records an error for every key of the section that has not been read.
func (s *Section) Close() {
	if s.ini == nil {
		return
	}
	for _, k := range s.ini.Keys() {
		if !s.read[k.Name()] {
			s.Fail(k.Name(), "unknown key")
		}
	}
}

package settings_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap/zapcore"

	"github.com/comfreylink/comfreylink/internal/inifile"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const minimal = `[instance]
id = entry-01
zone = osu
listen = 127.0.0.1:8080
admin = 127.0.0.1:9090
[peer]
listen = 127.0.0.1:7400
advertise = 127.0.0.1:7400
caFile = ca.pem
certFile = cert.pem
keyFile = key.pem
[log]
address = 127.0.0.1:7000
[list]
address = 127.0.0.1:7100
`

// Guards against an invalid example file, which operators copy, and against defaults that differ from the example.
func TestExample(t *testing.T) {
	example, err := settings.Load("../../examples/daemon.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, example.Instance.ID, qt.Equals, ids.InstanceID("entry-01"))
	qt.Assert(t, example.Fencing.Checked, qt.DeepEquals, []ids.PoolID{"design-brain"})

	defaults, err := settings.Parse("minimal.ini", []byte(minimal))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, defaults.Ownership, qt.Equals, example.Ownership)
	qt.Assert(t, defaults.Rate, qt.Equals, example.Rate)
	qt.Assert(t, defaults.Dispatch, qt.Equals, example.Dispatch)
	qt.Assert(t, defaults.Limits, qt.Equals, example.Limits)
	qt.Assert(t, defaults.Limits.MaxBodyBytes, qt.Equals, int64(4<<20))
	qt.Assert(t, defaults.Log.Retention, qt.Equals, 24*time.Hour)
	qt.Assert(t, defaults.Observe.LogLevel, qt.Equals, zapcore.InfoLevel)
}

// Guards against accepting a typing error, a missing unit or a combination that cannot work.
func TestErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[surprise]\na = b":             `s.ini: [surprise]: unknown section`,
		"[rate]\nholds = 1s":            `s.ini: [rate] holds: unknown key`,
		"[rate]\nhold = 1":              `s.ini: [rate] hold: "1" is not a duration with a unit, such as 200ms, 10s or 1h30m`,
		"[rate]\nhold = 1s":             `s.ini: [rate] hold: 1s is not below grantMax, 1s; an answer that takes longer than grantMax is dropped`,
		"[rate]\nhold =":                `s.ini: [rate] hold: the value is empty`,
		"[rate]\nhold = 1ms\nhold=1ms":  `s.ini: [rate] hold: the key is given twice`,
		"[rate]\n[rate]":                `s.ini: [rate]: the section is given twice`,
		"[limits]\nmaxBodyBytes = 4":    `s.ini: [limits] maxBodyBytes: "4" is not a size with a unit, such as 512B, 64KiB, 1MiB or 1GiB`,
		"[limits]\nmaxBodyBytes = 4kB":  `"4kB" is not a size`,
		"[limits]\nmaxBodyBytes = 1B":   `s.ini: [limits] maxBodyBytes: 1B is not between 1024B and 1073741824B`,
		"[limits]\nmaxDeadline = 1m":    `s.ini: [limits] defaultDeadline: 2m0s is above maxDeadline, 1m0s`,
		"[ownership]\nlease = 1s":       `s.ini: [ownership] suspectAfter: 3s is not below lease, 1s`,
		"[ownership]\nslots = 64x":      `s.ini: [ownership] slots: "64x" is not a whole number`,
		"[ownership]\nkeyRetention=30m": `s.ini: [ownership] keyRetention: 30m0s is not above maxDeadline of [limits], 30m0s`,
		"[dispatch]\npolicy = magic":    `s.ini: [dispatch] policy: "magic" is not one of fair, roundRobin, leastInFlight, sticky`,
		"[dispatch]\nretryBudget = 2":   `s.ini: [dispatch] retryBudget: 2 is not between 0 and 1`,
		"[weights]\naddress = store:80": `s.ini: [weights] address: "store" is not an IP address`,
		"[weights]\naddress = 0.0.0.0:": `s.ini: [weights] address: "" is not a port number`,
		"[weights]\naddress = 1.2.3.4":  `s.ini: [weights] address: "1.2.3.4" is not an address such as 10.0.0.7:7400`,
		"[fencing]\nchecked = a, a":     `s.ini: [fencing] checked: pool "a" is given twice`,
		"[observe]\nlogLevel = loud":    `s.ini: [observe] logLevel: "loud" is not one of debug, info, warn, error`,
	} {
		_, err := settings.Parse("s.ini", []byte(minimal+text))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", text))
		qt.Check(t, err.Error(), qt.Contains, want)
	}
}

// Guards against reporting only the first of several errors.
func TestAllErrorsAtOnce(t *testing.T) {
	text := strings.Replace(minimal, "zone = osu\n", "", 1)
	text = strings.Replace(text, ":9090", ":8080", 1) + "[rate]\nhold = 1\n[other]"
	_, err := settings.Parse("s.ini", []byte("stray = 1\n"+text))
	for _, want := range []string{
		"s.ini: [instance] zone: the key is missing", "[instance] admin: 127.0.0.1:8080 is also the address of listen",
		"[rate] hold", "[other]: unknown section", "s.ini: [] stray: the key is outside of any section",
	} {
		qt.Check(t, err.Error(), qt.Contains, want)
	}
	var where *inifile.Error
	qt.Assert(t, errors.As(err, &where), qt.IsTrue)
	qt.Assert(t, where.File, qt.Equals, "s.ini")
	_, err = settings.Load("missing.ini")
	qt.Assert(t, errors.Is(err, os.ErrNotExist), qt.IsTrue)
}

// Guards against keys or defaults in docs/SETTINGS.md that differ from the code.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	example, err := os.ReadFile("../../examples/daemon.ini")
	qt.Assert(t, err, qt.IsNil)
	row := regexp.MustCompile("(?m)^## (\\[.*\\])$|^\\| `(.*?)` \\| (.*?) ?\\|")
	text, keys := minimal, 0
	var section string
	for _, cells := range row.FindAllStringSubmatch(string(page), -1) {
		if cells[1] != "" {
			section = cells[1] + "\n"
			continue
		}
		keys++
		qt.Check(t, string(example), qt.Contains, "\n"+cells[2]+" = ")
		switch {
		case cells[3] == "" || cells[3] == "none":
		case strings.Contains(text, section):
			text = strings.Replace(text, section, section+cells[2]+" = "+cells[3]+"\n", 1)
		default:
			text += section + cells[2] + " = " + cells[3] + "\n"
		}
	}
	qt.Assert(t, keys, qt.Equals, strings.Count(string(example), " = "))
	documented, err := settings.Parse("SETTINGS.md", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	defaults, err := settings.Parse("minimal.ini", []byte(minimal))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, documented, qt.DeepEquals, defaults)
}

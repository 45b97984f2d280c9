// Package settings reads the daemon's settings file.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap/zapcore"

	"github.com/comfreylink/comfreylink/internal/inifile"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Settings holds the values of a daemon's settings file. Keys that the file omits have their default.
type Settings struct {
	Instance  Instance
	Peer      Peer
	Log       Log
	List      List
	Ownership Ownership
	Rate      Rate
	Dispatch  Dispatch
	Limits    Limits
	Weights   Weights
	Fencing   Fencing
	Observe   Observe
}

// Instance identifies the daemon and configures the addresses for callers and operators.
type Instance struct {
	ID   ids.InstanceID
	Zone ids.Zone
	// Listen is the address for callers.
	Listen string
	// Admin is the address for operators and monitoring.
	Admin string
	// DrainTimeout is how long a planned stop waits for requests in progress.
	DrainTimeout time.Duration
}

// Peer configures the connections between daemons.
type Peer struct {
	Listen string
	// Advertise is the address that other daemons connect to.
	Advertise string
	CAFile    string
	CertFile  string
	KeyFile   string
}

// Log configures the access to the log service.
type Log struct {
	Address string
	// AppendsPerSecond paces the appends of this instance to all streams together.
	AppendsPerSecond float64
	// Retention is how long the log service keeps entries.
	Retention time.Duration
	// Timeout applies to one request.
	Timeout time.Duration
}

// List configures the access to the instance list.
type List struct {
	Address  string
	Interval time.Duration
}

// Ownership configures slots.
type Ownership struct {
	// Slots is the number of slots of the fleet; it must be the same at every instance and never change.
	Slots int
	Lease time.Duration
	// SuspectAfter is the time without an answer after which an instance is suspected.
	SuspectAfter time.Duration
	// KeyRetention is how long the key of a request is remembered.
	KeyRetention time.Duration
}

// Rate configures the rate limiter.
type Rate struct {
	// GrantMax is the age up to which a granted token may be used.
	GrantMax time.Duration
	// Hold is how long the limiter holds a request for a token before it answers with the time to wait.
	Hold time.Duration
}

// Policy names the rule by which the dispatcher selects a target for a call.
type Policy string

// Dispatch policies.
const (
	Fair          Policy = "fair"
	RoundRobin    Policy = "roundRobin"
	LeastInFlight Policy = "leastInFlight"
	Sticky        Policy = "sticky"
)

// Dispatch configures the dispatcher.
type Dispatch struct {
	Policy Policy
	// MaxInFlight limits the calls in progress at one target of a pool for which no template sets a limit.
	MaxInFlight int
	// RetryBudget is the fraction of the requests that may be retries, such as 0.1.
	RetryBudget float64
}

// Limits restricts the requests of callers.
type Limits struct {
	MaxBodyBytes    int64
	MaxConcurrent   int
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Weights configures the access to the weight store.
type Weights struct {
	// Address is empty if there is no weight store.
	Address string
}

// Fencing configures the use of fencing numbers.
type Fencing struct {
	// Checked lists the pools whose targets refuse a request with an old fencing number.
	Checked []ids.PoolID
}

// Observe configures logging.
type Observe struct {
	LogLevel zapcore.Level
}

// Load reads a settings file. The error lists everything that is wrong with the file.
func Load(path string) (s Settings, err error) { return load(path, Parse) }

func load[T any](path string, parse func(name string, data []byte) (T, error)) (s T, err error) {
	defer func() { err = oops.In("settings").With("file", path).Wrapf(err, "read the settings") }()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return parse(path, data)
}

// Parse parses the contents of a settings file. The name is used in errors only.
func Parse(name string, data []byte) (s Settings, err error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return Settings{}, err
	}
	readSections(f, s.readers())
	s.checkCombinations(f)
	if err := f.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// reader reads the section of a settings file that it names.
type reader struct {
	name string
	read func(*inifile.Section)
}

func readSections(f *inifile.File, readers []reader) {
	for _, reader := range readers {
		section := f.Section(reader.name)
		reader.read(section)
		section.Close()
	}
}

func (s *Settings) readers() []reader {
	return []reader{
		{"instance", s.Instance.read},
		{"peer", s.Peer.read},
		{"log", s.Log.read},
		{"list", s.List.read},
		{"ownership", s.Ownership.read},
		{"rate", s.Rate.read},
		{"dispatch", s.Dispatch.read},
		{"limits", s.Limits.read},
		{"weights", s.Weights.read},
		{"fencing", s.Fencing.read},
		{"observe", s.Observe.read},
	}
}

// address reads an IP address and port. If wildcard is set, as for an address to listen at, the host may be empty or
// unspecified and the port may be 0.
func address(s *inifile.Section, key string, required, wildcard bool) string {
	var text string
	if required {
		text = s.Required(key)
	} else {
		text = s.Text(key, "")
	}
	if text == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		s.Fail(key, "%q is not an address such as 10.0.0.7:7400", text)
		return text
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && !wildcard {
		s.Fail(key, "%q is not a port number", port)
	}
	checkHost(s, key, host, wildcard)
	return text
}

func checkHost(s *inifile.Section, key, host string, wildcard bool) {
	ip := net.ParseIP(host)
	switch {
	case host == "" && wildcard:
	case ip == nil:
		s.Fail(key, "%q is not an IP address", host)
	case ip.IsUnspecified() && !wildcard:
		s.Fail(key, "%q is not an address that can be connected to", host)
	}
}

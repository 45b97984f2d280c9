package settings

import (
	"regexp"
	"slices"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/comfreylink/comfreylink/internal/inifile"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const day = 24 * time.Hour

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func name(s *inifile.Section, key string) string {
	text := s.Required(key)
	if text != "" && !namePattern.MatchString(text) {
		s.Fail(key, "%q is not a name of up to 63 lower-case letters, digits, dots and hyphens", text)
	}
	return text
}

func (i *Instance) read(s *inifile.Section) {
	i.ID = ids.InstanceID(name(s, "id"))
	i.Zone = ids.Zone(name(s, "zone"))
	i.Listen = address(s, "listen", true, true)
	i.Admin = address(s, "admin", true, true)
	i.DrainTimeout = s.Duration("drainTimeout", 2*time.Minute, time.Second, day)
}

func (p *Peer) read(s *inifile.Section) {
	p.Listen = address(s, "listen", true, true)
	p.Advertise = address(s, "advertise", true, false)
	p.CAFile = s.Required("caFile")
	p.CertFile = s.Required("certFile")
	p.KeyFile = s.Required("keyFile")
}

func (l *Log) read(s *inifile.Section) {
	l.Address = address(s, "address", true, false)
	l.AppendsPerSecond = s.Float("appendsPerSecond", 20, 0.1, 1000)
	l.Retention = s.Duration("retention", 24*time.Hour, 10*time.Second, 365*day)
	l.Timeout = s.Duration("timeout", 2*time.Second, 10*time.Millisecond, time.Minute)
}

func (l *List) read(s *inifile.Section) {
	l.Address = address(s, "address", true, false)
	l.Interval = s.Duration("interval", time.Second, 10*time.Millisecond, time.Minute)
}

func (o *Ownership) read(s *inifile.Section) {
	o.Slots = int(s.Int("slots", 64, 1, 4096))
	o.Lease = s.Duration("lease", 10*time.Second, 100*time.Millisecond, 5*time.Minute)
	o.SuspectAfter = s.Duration("suspectAfter", 3*time.Second, 50*time.Millisecond, 5*time.Minute)
	o.KeyRetention = s.Duration("keyRetention", day, time.Minute, 30*day)
}

func (r *Rate) read(s *inifile.Section) {
	r.GrantMax = s.Duration("grantMax", time.Second, 10*time.Millisecond, 10*time.Second)
	r.Hold = s.Duration("hold", 200*time.Millisecond, 0, 10*time.Second)
}

func (d *Dispatch) read(s *inifile.Section) {
	d.Policy = Policy(s.OneOf("policy", string(Fair), string(Fair), string(RoundRobin), string(LeastInFlight), string(Sticky)))
	d.MaxInFlight = int(s.Int("maxInFlight", 8, 1, 10_000))
	d.RetryBudget = s.Float("retryBudget", 0.1, 0, 1)
}

func (l *Limits) read(s *inifile.Section) {
	l.MaxBodyBytes = s.Size("maxBodyBytes", 4<<20, 1<<10, 1<<30)
	l.MaxConcurrent = int(s.Int("maxConcurrent", 4096, 1, 1_000_000))
	l.DefaultDeadline = s.Duration("defaultDeadline", 2*time.Minute, time.Millisecond, day)
	l.MaxDeadline = s.Duration("maxDeadline", 30*time.Minute, time.Millisecond, day)
}

func (w *Weights) read(s *inifile.Section) {
	w.Address = address(s, "address", false, false)
}

func (f *Fencing) read(s *inifile.Section) {
	for _, pool := range s.List("checked") {
		if !namePattern.MatchString(pool) {
			s.Fail("checked", "%q is not the name of a pool", pool)
		}
		if slices.Contains(f.Checked, ids.PoolID(pool)) {
			s.Fail("checked", "pool %q is given twice", pool)
		}
		f.Checked = append(f.Checked, ids.PoolID(pool))
	}
}

func (o *Observe) read(s *inifile.Section) {
	text := s.OneOf("logLevel", "info", "debug", "info", "warn", "error")
	o.LogLevel, _ = zapcore.ParseLevel(text)
}

// checkCombinations records an error for each combination of valid values that cannot work.
func (s *Settings) checkCombinations(f *inifile.File) {
	fail := func(section, key, format string, args ...any) { f.Section(section).Fail(key, format, args...) }
	if s.Ownership.SuspectAfter >= s.Ownership.Lease {
		fail("ownership", "suspectAfter", "%s is not below lease, %s", s.Ownership.SuspectAfter, s.Ownership.Lease)
	}
	// Reading the log renews a lease, so one slow read must not take as long as the lease.
	if s.Log.Timeout >= s.Ownership.Lease {
		fail("log", "timeout", "%s is not below lease of [ownership], %s", s.Log.Timeout, s.Ownership.Lease)
	}
	if s.Rate.Hold >= s.Rate.GrantMax {
		fail("rate", "hold", "%s is not below grantMax, %s; an answer that takes longer than grantMax is dropped", s.Rate.Hold, s.Rate.GrantMax)
	}
	if s.Limits.DefaultDeadline > s.Limits.MaxDeadline {
		fail("limits", "defaultDeadline", "%s is above maxDeadline, %s", s.Limits.DefaultDeadline, s.Limits.MaxDeadline)
	}
	// Otherwise the key of a request could be deleted while the request runs, and a repeated request would run again.
	if s.Ownership.KeyRetention <= s.Limits.MaxDeadline {
		fail("ownership", "keyRetention", "%s is not above maxDeadline of [limits], %s", s.Ownership.KeyRetention, s.Limits.MaxDeadline)
	}
	s.checkAddresses(fail)
}

func (s *Settings) checkAddresses(fail func(section, key, format string, args ...any)) {
	if s.Instance.Admin != "" && s.Instance.Admin == s.Instance.Listen {
		fail("instance", "admin", "%s is also the address of listen", s.Instance.Admin)
	}
	if s.Peer.Listen != "" && (s.Peer.Listen == s.Instance.Listen || s.Peer.Listen == s.Instance.Admin) {
		fail("peer", "listen", "%s is also an address of [instance]", s.Peer.Listen)
	}
}

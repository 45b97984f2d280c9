package settings

import (
	"math"
	"time"

	"github.com/comfreylink/comfreylink/internal/inifile"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Gateway holds the values of a gateway's settings file. Keys that the file omits have their default.
type Gateway struct {
	Instance GatewayInstance
	Relay    Relay
	Store    Store
	Bounds   Bounds
	Zones    Zones
	Dispatch GatewayDispatch
	Observe  Observe
}

// GatewayInstance identifies the gateway and configures its addresses and the limits of its process.
type GatewayInstance struct {
	ID   ids.InstanceID
	Zone ids.Zone
	// Region is the region of Zone; empty if there is none.
	Region string
	// Listen is the address for callers, Ready that of the readiness probe and Metrics that for monitoring and dumps.
	Listen, Ready, Metrics string
	// CPU is the process's share of a core. Instances with a larger share do more of the work that one does for all.
	CPU float64
	// Memory is the memory limit of the process in bytes; 0 if there is none.
	Memory int64
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
}

// Relay configures the calls between gateways.
type Relay struct {
	Listen string
	// Advertise is the address that other gateways connect to.
	Advertise string
}

// Store configures the access to the platform's log.
type Store struct {
	Address string
	// Partitions is how many partitions a new topic has.
	Partitions int
	// RecordPartitions is the number of partitions with the records of programs, each of which one instance writes for all.
	// With 0, each instance writes its own records, to many partitions.
	RecordPartitions int
	// CallsPerSecond is the log's limit of append calls per second for all gateways; 0 turns the pacing of calls off.
	CallsPerSecond int
	// ReadRate is the number of bytes per second that the log sends to all gateways together; 0 if it is not limited. If it is too
	// little for all of them, some read for others.
	ReadRate int
	// Retention is how long the log keeps records; 0 if it keeps all. It comes from the command line.
	Retention time.Duration
}

// Bounds are upper limits of the time until a change takes effect.
type Bounds struct {
	// Revoke is how long a withdrawn key may still work.
	Revoke time.Duration
	// Removal is how long a target may still get requests after it announced that it leaves.
	Removal time.Duration
	// Evacuate is how long a zone may still get requests after its evacuation was published.
	Evacuate time.Duration
}

// Zones holds the region of each zone. It is empty in a deployment without regions.
type Zones map[ids.Zone]string

// GatewayDispatch configures the queues of requests that wait for a target.
type GatewayDispatch struct {
	Policy Policy
	// RankMargin is how many slots of a target a request must leave free for each more urgent priority of its service's
	// routes.
	RankMargin int
	// ZonePrice is how many milliseconds of delay one KiB between zones is worth; it may be infinite.
	ZonePrice float64
	// SlowRetries is the share of requests that may be sent to a second target because the first is very late; 0 for none.
	SlowRetries float64
}

func (i *GatewayInstance) read(s *inifile.Section) {
	i.ID = ids.InstanceID(name(s, "id"))
	i.Zone = ids.Zone(name(s, "zone"))
	i.Region = s.TextOrEmpty("region")
	i.Listen = address(s, "listen", true, true)
	i.Ready = address(s, "ready", true, true)
	i.Metrics = address(s, "metrics", false, true)
	i.CPU = s.Float("cpu", 1, 0, 1024)
	i.Memory = s.Size("memory", 0, 16<<20, 1<<40)
	i.Grace = s.Duration("grace", 8*time.Second, 100*time.Millisecond, time.Hour)
}

func (r *Relay) read(s *inifile.Section) {
	r.Listen = address(s, "listen", true, true)
	r.Advertise = address(s, "advertise", true, false)
}

func (l *Store) read(s *inifile.Section) {
	l.Address = address(s, "address", true, false)
	l.Partitions = int(s.Int("partitions", 12, 1, 1024))
	l.RecordPartitions = int(s.Int("recordPartitions", 0, 0, 1024))
	if l.RecordPartitions > l.Partitions {
		s.Fail("recordPartitions", "%d is more than the %d partitions of a topic", l.RecordPartitions, l.Partitions)
	}
	l.CallsPerSecond = int(s.Int("callsPerSecond", 0, 0, 1_000_000))
	l.ReadRate = int(s.Float("readMegabytesPerSecond", 0, 0, 1_000_000) * 1e6)
}

func (b *Bounds) read(s *inifile.Section) {
	b.Revoke = s.Duration("revoke", 5*time.Second, 500*time.Millisecond, time.Hour)
	b.Removal = s.Duration("removal", 2*time.Second, 100*time.Millisecond, time.Hour)
	b.Evacuate = s.Duration("evacuate", 5*time.Second, time.Second, time.Hour)
}

func (z *Zones) read(s *inifile.Section) {
	for _, key := range s.Names() {
		if *z == nil {
			*z = make(Zones)
		}
		(*z)[ids.Zone(key)] = s.Required(key)
	}
}

func (d *GatewayDispatch) read(s *inifile.Section) {
	d.Policy = Policy(s.OneOf("policy", string(Fair), string(Fair), string(RoundRobin), string(LeastInFlight), string(Sticky)))
	d.RankMargin = int(s.Int("rankMargin", 0, 0, 16))
	d.ZonePrice = s.Float("zonePrice", 0, 0, math.Inf(1))
	d.SlowRetries = s.Float("slowRetries", 0, 0, 0.1)
}

// LoadGateway reads a gateway's settings file. The error lists everything that is wrong with the file.
func LoadGateway(path string) (g Gateway, err error) { return load(path, ParseGateway) }

// ParseGateway parses the contents of a gateway's settings file. The name is used in errors only.
func ParseGateway(name string, data []byte) (g Gateway, err error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return Gateway{}, err
	}
	readSections(f, []reader{
		{"instance", g.Instance.read},
		{"relay", g.Relay.read},
		{"store", g.Store.read},
		{"bounds", g.Bounds.read},
		{"zones", g.Zones.read},
		{"dispatch", g.Dispatch.read},
		{"observe", g.Observe.read},
	})
	if g.Instance.Ready != "" && g.Instance.Ready == g.Instance.Listen {
		f.Section("instance").Fail("ready", "%s is also the address of listen", g.Instance.Ready)
	}
	if region, ok := g.Zones[g.Instance.Zone]; ok && g.Instance.Region == "" {
		g.Instance.Region = region
	} else if ok && g.Instance.Region != region {
		f.Section("instance").Fail("region", "%s is not the region %s that [zones] gives for the zone %s", g.Instance.Region, region, g.Instance.Zone)
	}
	if err := f.Err(); err != nil {
		return Gateway{}, err
	}
	return g, nil
}

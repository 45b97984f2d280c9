package cli

import (
	"context"
	"encoding/json"
	"time"

	ucli "github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/settings"
)

// defaultLogRetention is the retention of the log on the users' platform.
const defaultLogRetention = 5 * time.Minute

var gatewayCommand = command{
	name:        "gateway",
	description: "run a gateway on the users' platform until SIGTERM or SIGINT",
	flags: func() []ucli.Flag {
		return []ucli.Flag{
			&ucli.StringFlag{Name: "settings", Usage: "settings `FILE`; by default the one that the platform provides"},
			&ucli.DurationFlag{Name: "log-retention", Value: defaultLogRetention, Usage: "how long the platform's log keeps records, as a `DURATION`; 0s if it keeps all"},
			&ucli.IntFlag{Name: "appends-per-second", Usage: "how many appends a second the platform's log takes from all gateways, in place of the setting callsPerSecond"},
			&ucli.FloatFlag{Name: "read-megabytes-per-second", Usage: "how many megabytes a second the platform's log sends to all gateways, in place of the setting readMegabytesPerSecond"},
			&ucli.FloatFlag{Name: "cpu", Usage: "share of a core that the process may use, in place of the setting cpu"},
			&ucli.StringFlag{Name: "zones", Usage: "the region of each zone as a JSON `OBJECT`, in place of the section [zones]"},
			&ucli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		}
	},
	action: func(ctx context.Context, r *run) error {
		if r.runners.Gateway == nil {
			return errNotLinked
		}
		path := r.String("settings")
		if path == "" {
			path = r.runners.GatewaySettings
		}
		if path == "" {
			return &UsageError{Reason: "no settings file: the platform provides none and --settings is not given"}
		}
		s, err := settings.LoadGateway(path)
		if err != nil {
			log := events.NewLogger(r.out.stderr, zap.InfoLevel)
			events.Log(log, events.SettingsInvalid, zap.String("file", path), zap.Error(err))
			return err
		}
		if s.Store.Retention = r.Duration("log-retention"); s.Store.Retention < 0 {
			return &UsageError{Reason: "--log-retention is negative"}
		}
		if err := applyDeployment(&s, r); err != nil {
			return err
		}
		if r.Bool("check") {
			return nil
		}
		return r.runners.Gateway(ctx, path, s)
	},
}

// applyDeployment puts what the command line says about the deployment in place of the settings.
func applyDeployment(s *settings.Gateway, r *run) error {
	if r.IsSet("appends-per-second") {
		if s.Store.CallsPerSecond = r.Int("appends-per-second"); s.Store.CallsPerSecond < 0 {
			return &UsageError{Reason: "--appends-per-second is negative"}
		}
	}
	if r.IsSet("read-megabytes-per-second") {
		if s.Store.ReadRate = int(r.Float("read-megabytes-per-second") * 1e6); s.Store.ReadRate < 0 {
			return &UsageError{Reason: "--read-megabytes-per-second is negative"}
		}
	}
	if r.IsSet("cpu") {
		if s.Instance.CPU = r.Float("cpu"); s.Instance.CPU < 0 {
			return &UsageError{Reason: "--cpu is negative"}
		}
	}
	if r.IsSet("zones") {
		zones, err := parseZones(r.String("zones"))
		if err != nil {
			return err
		}
		s.Zones, s.Instance.Region = zones, zones[s.Instance.Zone]
	}
	return nil
}

// parseZones parses the region of each zone, a JSON object.
func parseZones(text string) (zones settings.Zones, err error) {
	if err := json.Unmarshal([]byte(text), &zones); err != nil {
		return nil, &UsageError{Reason: "--zones is no JSON object of zones and regions: " + err.Error()}
	}
	return zones, nil
}

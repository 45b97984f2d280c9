package main

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/boottime"
	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/platform"
)

// configRetryPause is the pause after a call to the log that had no effect, so that the command does not add to an overload.
const configRetryPause = time.Second

// readPlatformLog reads the operator's newest configuration and the registered targets from the platform's log at an address.
func readPlatformLog(ctx context.Context, address string) (config []byte, targets []call.Target, err error) {
	client, closeClient := httpwire.NewClient(httpwire.ClientOptions{ConnectTimeout: connectTimeout, SilenceTimeout: silenceTimeout})
	defer closeClient()
	store := platform.NewStore(address, client, boottime.New().Now, noObserver{})
	err = untilApplied(ctx, func() (err error) {
		config, err = platform.ReadConfig(ctx, store)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	err = untilApplied(ctx, func() (err error) {
		targets, err = platform.ReadTargets(ctx, store)
		return err
	})
	return config, targets, err
}

// untilApplied repeats a call while the log is throttled or unavailable, until ctx ends.
func untilApplied(ctx context.Context, call func() error) error {
	for {
		err := call()
		if !errors.Is(err, partlog.ErrNotApplied) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(configRetryPause):
		}
	}
}

// noObserver ignores the calls to the store of a command, which has no metrics.
type noObserver struct{}

func (noObserver) StoreCall(context.Context, partlog.Call) {}

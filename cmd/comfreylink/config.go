package main

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/boottime"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/platform"
)

// configRetryPause is the pause after a call to the log that had no effect, so that the command does not add to an overload.
const configRetryPause = time.Second

// configInForce reads the operator's newest configuration from the platform's log at an address. It tries again while the log
// is throttled or unavailable, until ctx ends.
func configInForce(ctx context.Context, address string) (data []byte, err error) {
	client, closeClient := httpwire.NewClient(httpwire.ClientOptions{ConnectTimeout: connectTimeout, SilenceTimeout: silenceTimeout})
	defer closeClient()
	store := platform.NewStore(address, client, boottime.New().Now, noObserver{})
	for {
		data, err = platform.ReadConfig(ctx, store)
		if !errors.Is(err, partlog.ErrNotApplied) {
			return data, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(configRetryPause):
		}
	}
}

// noObserver ignores the calls to the store of a command, which has no metrics.
type noObserver struct{}

func (noObserver) StoreCall(string, time.Duration, int, error) {}

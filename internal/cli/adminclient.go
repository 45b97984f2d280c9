package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	ucli "github.com/urfave/cli/v3"
)

const (
	adminTimeout = 10 * time.Second
	// maxAdminAnswer is above the dump of a daemon with every program of today's sizes.
	maxAdminAnswer = 256 << 20
)

// adminFlags are the flags of the commands that talk to a daemon.
func adminFlags() []ucli.Flag {
	return []ucli.Flag{
		&ucli.StringFlag{Name: "admin", Required: true, Usage: "admin `ADDRESS` of the daemon, HOST:PORT"},
		&ucli.DurationFlag{Name: "timeout", Value: adminTimeout, Usage: "`TIME` after which the command gives up"},
	}
}

// ask sends a request to the daemon's admin address and returns the JSON that it answers.
func (r *run) ask(ctx context.Context, method, path string) (answer json.RawMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.Duration("timeout"))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.String("admin")+path, nil)
	if err != nil {
		return nil, &UsageError{Reason: fmt.Sprintf("--admin %q is not an address", r.String("admin"))}
	}
	// The address is on the operators' network, so a proxy from the environment does not apply.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminAnswer))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode >= http.StatusBadRequest:
		return nil, fmt.Errorf("the daemon answered %s: %s", resp.Status, bytes.TrimSpace(body))
	case !json.Valid(body):
		return nil, errors.New("the daemon's answer is not JSON")
	}
	return body, nil
}

// show prints the daemon's answer, indented for people.
func (r *run) show(answer json.RawMessage, people io.Writer) error {
	if r.out.json {
		return r.out.encode(answer)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, answer, "", "  "); err != nil {
		return err
	}
	indented.WriteByte('\n')
	_, err := indented.WriteTo(people)
	return err
}

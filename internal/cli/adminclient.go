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
	// maxAdminResponse is larger than the dump of a daemon that owns every program of a fleet of today's size.
	maxAdminResponse = 256 << 20
)

// adminFlags returns the flags of the commands that send requests to a daemon.
func adminFlags() []ucli.Flag {
	return []ucli.Flag{
		&ucli.StringFlag{Name: "admin", Required: true, Usage: "admin `ADDRESS` of the daemon, HOST:PORT"},
		&ucli.DurationFlag{Name: "timeout", Value: adminTimeout, Usage: "fail if the command takes longer than `TIME`"},
	}
}

// adminRequest sends a request to the daemon's admin address and returns the JSON body of the response.
func (r *run) adminRequest(ctx context.Context, method, path string) (response json.RawMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.Duration("timeout"))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.String("admin")+path, nil)
	if err != nil {
		return nil, &UsageError{Reason: fmt.Sprintf("--admin %q is not an address", r.String("admin"))}
	}
	// The transport ignores proxies from the environment because the address is on the operators' network.
	// A daemon sends no redirects, and what answers elsewhere is not the daemon.
	client := http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponse))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices: // net/http also returns 000
		return nil, fmt.Errorf("the daemon answered %s: %s", resp.Status, bytes.TrimSpace(body))
	case !json.Valid(body):
		return nil, errors.New("the daemon's answer is not JSON")
	}
	return body, nil
}

// printResponse prints the daemon's response indented to text, or as one line on stdout with --json.
func (r *run) printResponse(response json.RawMessage, text io.Writer) error {
	if r.out.json {
		return r.out.encode(response)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, response, "", "  "); err != nil {
		return err
	}
	indented.WriteByte('\n')
	_, err := indented.WriteTo(text)
	return err
}

package cluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Instance is an entry of the instance list.
type Instance struct {
	ID      string     `json:"id"`
	Kind    string     `json:"kind"`
	Pool    ids.PoolID `json:"pool,omitempty"`
	Zone    ids.Zone   `json:"zone"`
	Address string     `json:"address"`
	State   string     `json:"state"`
}

var client = http.Client{Timeout: 10 * time.Second}

// Register adds an instance to the instance list or replaces its entry.
func (c *Cluster) Register(i Instance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return err
	}
	return c.send(http.MethodPut, "list", "/v1/instances/"+i.ID, body, nil)
}

// Unregister removes an instance from the instance list.
func (c *Cluster) Unregister(id string) error {
	return c.send(http.MethodDelete, "list", "/v1/instances/"+id, nil, nil)
}

// Target starts a stand-in as a target and adds it to the instance list.
func (c *Cluster) Target(id, kind string, pool ids.PoolID, zone ids.Zone, args ...string) (p *Process, err error) {
	if p, err = c.Standin(id, kind, args...); err != nil {
		return nil, err
	}
	return p, c.Register(Instance{ID: id, Kind: "target", Pool: pool, Zone: zone, Address: p.Address, State: "live"})
}

// Fault sets the faults of a stand-in.
func (c *Cluster) Fault(name string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return c.send(http.MethodPost, name, "/faults", body, nil)
}

// Get requests a path of a process and decodes the JSON response.
func (c *Cluster) Get(name, path string, into any) error {
	return c.send(http.MethodGet, name, path, nil, into)
}

// Post sends a body to a path of a process.
func (c *Cluster) Post(name, path string, body []byte) error {
	return c.send(http.MethodPost, name, path, body, nil)
}

func (c *Cluster) send(method, name, path string, body []byte, into any) (err error) {
	p := c.Process(name)
	if p == nil {
		return fmt.Errorf("no process %q", name)
	}
	req, err := http.NewRequest(method, "http://"+p.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s%s: status %d: %s", method, name, path, resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

// Package cluster starts daemons and stand-ins as processes on the loopback interface, for the demo, the scenarios and the load
// tool. It can kill and pause these processes and set the faults of stand-ins.
package cluster

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/comfreylink/comfreylink/internal/certs"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	startTimeout = 20 * time.Second
	certValidity = 24 * time.Hour
)

// Process is a process that was started by a Cluster.
type Process struct {
	Name string
	// Address is the address on which it serves HTTP.
	Address string
	// Admin is the address of a daemon's admin server, and Peers the address for other daemons.
	Admin, Peers string
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has ended
	err          error         // result of Wait, set before exited is closed
}

// Cluster is a set of processes and the directory of their files.
type Cluster struct {
	// Dir is the directory of the settings, certificates and logs of the processes.
	Dir string
	// Bin is the directory of the binaries comfreylink and standin.
	Bin string

	authority *certs.Authority
	caFile    string
	mu        sync.Mutex
	procs     map[string]*Process
}

// New returns a cluster without processes. The cleanup function kills all processes that the cluster has started.
func New(dir, bin string) (c *Cluster, cleanup func(), err error) {
	c = &Cluster{Dir: dir, Bin: bin, procs: map[string]*Process{}}
	if c.authority, err = certs.NewAuthority(time.Now(), certValidity); err != nil {
		return nil, nil, err
	}
	if c.caFile, err = c.authority.WriteAuthority(dir); err != nil {
		return nil, nil, err
	}
	return c, c.killAll, nil
}

// Build compiles the binaries comfreylink and standin into a directory. The working directory must be in the repository.
func Build(ctx context.Context, bin string, flags ...string) error {
	args := append([]string{"build"}, flags...)
	args = append(args, "-o", bin+string(os.PathSeparator),
		"github.com/comfreylink/comfreylink/cmd/comfreylink", "github.com/comfreylink/comfreylink/standin/cmd/standin")
	cmd := exec.CommandContext(ctx, "go", args...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build the binaries: %w\n%s", err, out)
	}
	return nil
}

// Range of the listening ports. It is below the range from which the kernel assigns ports to outgoing connections.
const (
	firstPort = 20000
	portRange = 8000
)

// ports holds the last port that was tried. It is shared by all clusters of this process, so that concurrent searches do not
// return the same port. The first port is random because other processes on the machine may search the same range.
var ports = struct {
	sync.Mutex
	last int
}{last: firstPort + rand.IntN(portRange)}

// FreeAddress returns a loopback address with a port on which no process listens.
func (c *Cluster) FreeAddress() (address string, err error) {
	ports.Lock()
	defer ports.Unlock()
	for range portRange {
		ports.last = firstPort + (ports.last+1-firstPort)%portRange
		address = fmt.Sprintf("127.0.0.1:%d", ports.last)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// Standin starts a stand-in under a name and waits until it listens. A stand-in that is started again keeps its address.
func (c *Cluster) Standin(name, kind string, args ...string) (p *Process, err error) {
	address := ""
	if old := c.Process(name); old != nil {
		address = old.Address
	} else if address, err = c.FreeAddress(); err != nil {
		return nil, err
	}
	args = append([]string{kind, "--listen", address}, args...)
	return c.start(name, address, filepath.Join(c.Bin, "standin"), args)
}

func (c *Cluster) start(name, address, binary string, args []string) (p *Process, err error) {
	p = &Process{Name: name, Address: address, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	out, err := os.OpenFile(filepath.Join(c.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	c.mu.Lock()
	c.procs[name] = p
	c.mu.Unlock()
	return p, c.awaitListening(p)
}

// awaitListening blocks until a process accepts connections.
func (c *Cluster) awaitListening(p *Process) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended while it was starting: %w\n%s", p.Name, p.err, c.tail(p.Name))
		default:
		}
		conn, err := net.Dial("tcp", p.Address)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("%s does not listen on %s within the start timeout", p.Name, p.Address)
}

// tail returns the last lines of a process's output.
func (c *Cluster) tail(name string) string {
	f, err := os.Open(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		return ""
	}
	defer f.Close()
	const maxLines = 10
	var lines []string
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
		if len(lines) > maxLines {
			lines = lines[1:]
		}
	}
	return strings.Join(lines, "\n")
}

// Process returns the process that was last started under a name, or nil.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.procs[name]
}

func (c *Cluster) signal(name string, s syscall.Signal) (*Process, error) {
	p := c.Process(name)
	if p == nil {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL to a process and waits for its end.
func (c *Cluster) Kill(name string) error {
	p, err := c.signal(name, syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Pause suspends a process with SIGSTOP until Continue.
func (c *Cluster) Pause(name string) error {
	_, err := c.signal(name, syscall.SIGSTOP)
	return err
}

// Continue resumes a paused process.
func (c *Cluster) Continue(name string) error {
	_, err := c.signal(name, syscall.SIGCONT)
	return err
}

// HangUp sends SIGHUP to a process.
func (c *Cluster) HangUp(name string) error {
	_, err := c.signal(name, syscall.SIGHUP)
	return err
}

// Terminate sends SIGTERM to a process and waits for its end. It returns an error if the exit code is not 0.
func (c *Cluster) Terminate(name string, within time.Duration) error {
	p, err := c.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-time.After(within):
		return fmt.Errorf("%s did not stop within %s", name, within)
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited reports whether a process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (c *Cluster) killAll() {
	c.mu.Lock()
	procs := c.procs
	c.procs = map[string]*Process{}
	c.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.exited
	}
}

// DaemonOptions configure a daemon that is started by Daemon.
type DaemonOptions struct {
	ID   ids.InstanceID
	Zone ids.Zone
	// Settings holds further lines of the settings file by section, such as "ownership": "lease = 2s".
	Settings map[string]string
	// Log and List replace the addresses of the stand-ins log and list, if set.
	Log, List string
}

// Daemon writes the settings of a daemon, starts it and adds it to the instance list. The stand-ins log and list must have been
// started before.
func (c *Cluster) Daemon(o DaemonOptions) (p *Process, err error) {
	var listen, admin, peers string
	for _, a := range []*string{&listen, &admin, &peers} {
		if *a, err = c.FreeAddress(); err != nil {
			return nil, err
		}
	}
	cert, key, err := c.authority.Issue(time.Now(), c.Dir, o.ID)
	if err != nil {
		return nil, err
	}
	logService, list := c.Process("log"), c.Process("list")
	if logService == nil || list == nil {
		return nil, errors.New("start the stand-ins log and list first")
	}
	sections := []struct{ name, lines string }{
		{"instance", fmt.Sprintf("id = %s\nzone = %s\nlisten = %s\nadmin = %s", o.ID, o.Zone, listen, admin)},
		{"peer", fmt.Sprintf("listen = %s\nadvertise = %s\ncaFile = %s\ncertFile = %s\nkeyFile = %s", peers, peers, c.caFile, cert, key)},
		{"log", "address = " + cmp.Or(o.Log, logService.Address) + "\ntimeout = 1s"},
		{"list", "address = " + cmp.Or(o.List, list.Address) + "\ninterval = 200ms"},
		{"ownership", ""},
		{"rate", ""},
		{"dispatch", ""},
		{"limits", ""},
		{"fencing", ""},
		{"observe", ""},
	}
	var text strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&text, "[%s]\n%s\n%s\n", s.name, s.lines, o.Settings[s.name])
	}
	file := filepath.Join(c.Dir, string(o.ID)+".ini")
	if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
		return nil, err
	}
	if p, err = c.start(string(o.ID), listen, filepath.Join(c.Bin, "comfreylink"), []string{"serve", "--settings", file}); err != nil {
		return nil, err
	}
	p.Admin, p.Peers = admin, peers
	return p, c.Register(Instance{ID: string(o.ID), Kind: "daemon", Zone: o.Zone, Address: peers, State: "live"})
}

// Command runs the comfreylink command line and returns its output.
func (c *Cluster) Command(ctx context.Context, args ...string) (stdout string, err error) {
	cmd := exec.CommandContext(ctx, filepath.Join(c.Bin, "comfreylink"), args...)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("comfreylink %s: %w\n%s", strings.Join(args, " "), err, errOut.String())
	}
	return out.String(), nil
}

// Dump copies the output of a process to a writer.
func (c *Cluster) Dump(name string, to io.Writer) error {
	f, err := os.Open(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = io.Copy(to, f)
	return err
}

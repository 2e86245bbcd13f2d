package hollow

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime/debug"
	"sync"
	"syscall"
	"time"
)

// request is a JSON line from the rig to a process of hollow nodes, and reply is the line that answers it.
type request struct {
	Command string   `json:"do"` // counts, known, restart
	What    string   `json:"what,omitempty"`
	Names   []string `json:"names,omitempty"`
}

type reply struct {
	Error  string  `json:"error,omitempty"`
	Counts *Counts `json:"counts,omitempty"`
	Known  *Known  `json:"known,omitempty"`
}

const (
	maxLineBytes = 4 << 20 // bytes of a line
	// gcPercent is the value of the real program (cmd/starlingvalve).
	gcPercent = 400
)

// Main runs a process of hollow nodes: it starts the nodes of the Options in a JSON file, answers each request
// line of in with one line on out, and returns at the end of in.
func Main(file string, in io.Reader, out io.Writer, parts ...Part) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	options := Options{}
	if err := json.Unmarshal(raw, &options); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	debug.SetGCPercent(gcPercent)
	set, err := Start(options, parts...)
	if err != nil {
		return err
	}
	defer set.Stop()
	lines, answers := bufio.NewScanner(in), json.NewEncoder(out)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		incoming, answer := request{}, reply{}
		if err := json.Unmarshal(lines.Bytes(), &incoming); err != nil {
			return err
		}
		switch incoming.Command {
		case "counts":
			c := set.Counts()
			answer.Counts = &c
		case "known":
			k := set.Known(incoming.What)
			answer.Known = &k
		case "restart":
			if err := set.Restart(incoming.Names); err != nil {
				answer.Error = err.Error()
			}
		default:
			answer.Error = fmt.Sprintf("unknown request %q", incoming.Command)
		}
		if err := answers.Encode(answer); err != nil {
			return err
		}
	}
	return lines.Err()
}

// Process is the rig's handle of a process of hollow nodes. Its methods are safe for concurrent use.
type Process struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *bufio.Scanner
	mu    sync.Mutex // held from a request to its reply
}

// StartProcess writes o to file and starts the program exe with the arguments "hollow" and file; exe has to call
// Main with file. The kernel kills the process when the rig ends.
func StartProcess(exe, file string, o Options) (*Process, error) {
	raw, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(exe, "hollow", file)}
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.lines = bufio.NewScanner(out)
	p.lines.Buffer(nil, maxLineBytes)
	return p, nil
}

// ErrEnded reports that the process has ended.
var ErrEnded = errors.New("the process of hollow nodes has ended")

func (p *Process) roundTrip(q request) (a reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := json.NewEncoder(p.in).Encode(q); err != nil {
		return a, fmt.Errorf("%w: %w", ErrEnded, err)
	}
	if !p.lines.Scan() {
		return a, errors.Join(ErrEnded, p.lines.Err())
	}
	if err := json.Unmarshal(p.lines.Bytes(), &a); err != nil {
		return a, err
	}
	if a.Error != "" {
		return a, errors.New(a.Error)
	}
	return a, nil
}

// Counts returns the counts of the process's nodes.
func (p *Process) Counts() (Counts, error) {
	a, err := p.roundTrip(request{Command: "counts"})
	if err != nil || a.Counts == nil {
		return Counts{}, errors.Join(errors.New("counts"), err)
	}
	return *a.Counts, nil
}

// Known returns when something became known at the process's nodes.
func (p *Process) Known(what string) (Known, error) {
	a, err := p.roundTrip(request{Command: "known", What: what})
	if err != nil || a.Known == nil {
		return Known{}, errors.Join(errors.New("known"), err)
	}
	return *a.Known, nil
}

// Restart ends the named nodes at once and starts them again, as Set.Restart does.
func (p *Process) Restart(names []string) error {
	_, err := p.roundTrip(request{Command: "restart", Names: names})
	return err
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

const stopTimeout = 20 * time.Second

// Stop closes the process's input, at which it shuts down in order, and kills it if it has not ended within
// stopTimeout.
func (p *Process) Stop() {
	p.in.Close()
	kill := time.AfterFunc(stopTimeout, func() { p.cmd.Process.Kill() })
	defer kill.Stop()
	p.cmd.Wait()
}

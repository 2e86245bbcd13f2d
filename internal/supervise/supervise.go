package supervise

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
)

const (
	lookEvery  = 50 * time.Millisecond
	doorWait   = time.Second            // for an answer of the node on its control socket
	againFirst = 200 * time.Millisecond // before a crashed node is started again; doubles with each crash in a row
	againLast  = 5 * time.Second
	tellAgain  = 3 * time.Second // until a report is sent again, since the voters may have lost it
	tellWait   = 2 * time.Second // for the result of a report
)

// Supervisor keeps the process of one node running in the version that the fleet orders.
type Supervisor struct {
	c        *Config
	programs *Programs
	client   *control.Control
	door     *control.Door
	log      *slog.Logger

	mu     sync.Mutex
	chosen Chosen
	turn   *fleetpb.Turn // order to change the version that is not begun yet; nil if there is none
	made   uint64        // epoch of the last turn that was begun
	word   *fleetpb.Supervised // newest report on the node
	said   bool          // the voters have accepted that report
	reach  time.Time     // when the voters last answered
	news   chan struct{} // has capacity 1; signals a new turn
}

// Run supervises the node until ctx ends, and then ends the node. If the supervisor itself is killed, the node keeps
// running and the next supervisor adopts it.
func Run(ctx context.Context, c *Config, log *slog.Logger) error {
	programs, err := OpenPrograms(c.Folder)
	if err != nil {
		return fmt.Errorf("%s: supervise.folder: %w", c.Path, err)
	}
	lock, err := programs.Lock(ctx, func() { log.Warn("supervise: another supervisor keeps this node; this one waits", "folder", c.Folder) })
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("%s: %w", c.Path, err)
	}
	defer lock.Close()
	s := &Supervisor{c: c, programs: programs, door: control.Knock(c.Fleet.Socket), log: log, news: make(chan struct{}, 1), reach: time.Now()}
	if s.chosen, err = programs.Chosen(); err != nil {
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	if s.chosen.Version == "" { // first start: the node runs the program of this process
		self, err := os.Executable()
		if err != nil {
			return err
		}
		if s.chosen.Version, err = programs.Add(self); err != nil {
			return err
		}
		s.chosen.Well = s.chosen.Version
		if err := programs.Choose(s.chosen); err != nil {
			return err
		}
	}
	if s.client, err = control.NewClient(c.Fleet, log); err != nil {
		return err
	}
	defer s.client.CloseClient()
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { s.follow(ctx) })
	work.Go(func() { s.speak(ctx) })
	s.keep(ctx)
	return nil
}

// followOrders receives the fleet's orders and stores new turns of this node.
func (s *Supervisor) follow(ctx context.Context) {
	version, log := uint64(0), ""
	for ctx.Err() == nil {
		o, err := s.client.Orders(ctx, version, log)
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.reach = time.Now()
		s.mu.Unlock()
		if o == nil {
			continue
		}
		version, log = o.Version, o.Log
		for _, t := range o.Turns {
			if t.Node != s.c.Fleet.Name {
				continue
			}
			s.mu.Lock()
			if t.Epoch > s.made {
				s.turn = t
				s.wake()
			}
			s.mu.Unlock()
		}
	}
}

// notifyChanged signals a new turn. The caller holds the lock.
func (s *Supervisor) wake() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// setReport sets and logs the newest report on the node, which sendReports sends.
func (s *Supervisor) tell(version, state, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.word, s.said = &fleetpb.Supervised{Node: s.c.Fleet.Name, Version: version, State: state, Turn: s.made, Why: why}, false
	s.log.Info("supervise: node", "version", version, "state", state, "turn", s.made, "why", why)
}

// sendReports sends the newest report to the voters until they accept it, and then again every reportInterval. A
// crash is counted by the release, so its report is not sent again once accepted.
func (s *Supervisor) speak(ctx context.Context) {
	var at time.Time
	for ctx.Err() == nil {
		s.mu.Lock()
		word, said := s.word, s.said
		s.mu.Unlock()
		if word != nil && (!said || word.State != fleet.UnitCrashed && time.Since(at) > tellAgain) {
			once, cancel := context.WithTimeout(ctx, tellWait)
			r, err := s.client.Ask(once, &fleetpb.Entry{What: &fleetpb.Entry_Supervised{Supervised: word}})
			cancel()
			s.mu.Lock()
			if err == nil {
				at, s.reach = time.Now(), time.Now()
				s.said = s.said || s.word == word
				if r.Code != fleetpb.Result_DONE {
					s.log.Warn("supervise: a report was not accepted", "word", word, "result", r)
				}
			}
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(lookEvery):
		}
	}
}

// takeTurn returns the turn that is to be begun and marks it as begun; nil if there is none.
func (s *Supervisor) next() *fleetpb.Turn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.turn
	if s.turn = nil; t != nil {
		s.made = t.Epoch
	}
	return t
}

// unreachable reports whether the voters have not answered for twice the lifetime of a session.
func (s *Supervisor) unreached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.reach) > 2*s.c.Fleet.Life
}

// process is a process of the node, which this or an earlier supervisor started.
type process struct {
	*os.Process
	ended chan struct{} // closed once it has ended
	err   error         // how it ended
}

// runNode keeps the node running in the ordered version until ctx ends, and then ends it.
func (s *Supervisor) keep(ctx context.Context) {
	p := s.takeUp(ctx)
	wait := againFirst
	for ctx.Err() == nil {
		if p == nil {
			var err error
			if p, err = s.start(s.chosen.Version); err != nil {
				s.tell(s.chosen.Version, fleet.UnitCrashed, err.Error())
				wait = s.back(ctx, wait)
				continue
			}
			s.tell(s.chosen.Version, fleet.UnitStarting, "")
		}
		want, failed := s.watch(ctx, p)
		switch {
		case ctx.Err() != nil:
		case want != "":
			p = s.replace(ctx, p, want)
			wait = againFirst
		default:
			s.tell(s.chosen.Version, fleet.UnitCrashed, failed)
			s.end(p)
			p = nil
			wait = s.back(ctx, wait)
		}
	}
	if p != nil {
		s.end(p)
	}
}

// watchProcess waits until another version is ordered or the process has failed. It returns the version or a
// description of the failure; both are empty if ctx ended.
func (s *Supervisor) watch(ctx context.Context, p *process) (want, failed string) {
	began, ready := time.Now(), false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-p.ended:
			return "", fmt.Sprintf("it ended after %v: %v", time.Since(began).Round(time.Millisecond), p.err)
		case <-s.news:
		case <-time.After(lookEvery):
		}
		if !ready && s.isReady(ctx, p) {
			ready = true
			s.well()
			s.tell(s.chosen.Version, fleet.UnitReady, "")
		}
		if t := s.next(); t != nil && t.Version != s.chosen.Version {
			return t.Version, ""
		} else if t != nil && ready {
			s.tell(t.Version, fleet.UnitReady, "")
		}
		if !ready && time.Since(began) > s.c.Ready {
			return "", fmt.Sprintf("it is not ready after %v", s.c.Ready)
		}
	}
	return "", ""
}

// replace brings the node to another version. It starts a process of that version beside the one that serves; the new
// process takes over the sockets (internal/handover), and the old one then ends by itself. If the new process ends
// early or is not ready in time, the old one keeps serving clients, and the start is tried again after a delay until
// another version is ordered. It returns the process that is the node's afterwards; nil if there is none.
func (s *Supervisor) replace(ctx context.Context, old *process, want string) *process {
	s.log.Info("supervise: turn", "from", s.chosen.Version, "to", want)
	for wait := againFirst; ; wait = min(2*wait, againLast) {
		began := time.Now()
		p, err := s.start(want)
		failed := ""
		if err != nil {
			failed = err.Error()
		} else {
			s.tell(want, fleet.UnitStarting, "")
		}
		changed, told := "", false
		for failed == "" && changed == "" && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-p.ended:
				failed = fmt.Sprintf("it ended after %v: %v", time.Since(began).Round(time.Millisecond), p.err)
				continue
			case <-s.news:
			case <-time.After(lookEvery):
			}
			h, err := s.here(ctx)
			switch {
			case err != nil:
			case h.Pid == old.Pid && h.Succeeded && !told:
				told = true
				old.Signal(syscall.SIGTERM) // it answers the requests that it has before it ends
			case h.Pid != old.Pid && h.Pid != p.Pid && h.Node == s.c.Fleet.Name:
				// An earlier supervisor had begun the turn, and the process that it started has taken over.
				if other := s.adopt(ctx); other != nil {
					s.end(p)
					s.end(old)
					if s.chosen.Version != want {
						return s.replace(ctx, other, want)
					}
					return other
				}
			}
			if s.isReady(ctx, p) {
				s.end(old) // normally it has ended already
				s.choose(want)
				s.well()
				s.tell(want, fleet.UnitReady, "")
				return p
			}
			if t := s.next(); t != nil && t.Version != want {
				changed = t.Version
			}
			if time.Since(began) > s.c.Ready {
				failed = fmt.Sprintf("it is not ready after %v", s.c.Ready)
			}
		}
		if p != nil {
			s.end(p)
		}
		gone := false
		select {
		case <-old.ended: // possible if it had handed over already
			gone = true
		default:
		}
		if failed != "" {
			s.tell(want, fleet.UnitCrashed, failed)
			timer := time.NewTimer(wait)
			for waiting := true; waiting; {
				select {
				case <-ctx.Done():
					waiting = false
				case <-timer.C:
					waiting = false
				case <-s.news:
					if t := s.next(); t != nil && t.Version != want {
						changed, waiting = t.Version, false
					}
				}
			}
			timer.Stop()
			if changed == "" && s.unreached() {
				s.log.Warn("supervise: the voters can't be reached; returns to the last version that was ready", "version", s.chosen.Well)
				changed = s.chosen.Well
			}
		}
		switch {
		case gone:
			if changed != "" {
				s.choose(changed)
			}
			return nil
		case ctx.Err() != nil:
			return old
		case changed == s.chosen.Version:
			s.log.Info("supervise: the node keeps its version", "version", changed)
			return old
		case changed != "":
			want = changed
		}
	}
}

// awaitRestart waits before a restart, or until a turn arrives, and returns the next delay. If the voters can't be
// reached, a version that was never ready is replaced by the last one that was.
func (s *Supervisor) back(ctx context.Context, wait time.Duration) time.Duration {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return wait
	case <-timer.C:
	case <-s.news:
	}
	if t := s.next(); t != nil {
		s.choose(t.Version)
		return againFirst
	}
	if s.unreached() && s.chosen.Version != s.chosen.Well {
		s.log.Warn("supervise: the voters can't be reached; returns to the last version that was ready", "version", s.chosen.Well)
		s.choose(s.chosen.Well)
	}
	return min(2*wait, againLast)
}

// setVersion sets the version that the next start runs.
func (s *Supervisor) choose(version string) {
	s.chosen.Version = version
	s.note()
}

// markReady records that the version that runs has been ready.
func (s *Supervisor) well() {
	s.chosen.Well = s.chosen.Version
	s.note()
}

func (s *Supervisor) note() {
	if err := s.programs.Choose(s.chosen); err != nil {
		s.log.Error("supervise: the chosen version can't be stored", "err", err)
	}
}

func (s *Supervisor) here(ctx context.Context) (control.Here, error) {
	ctx, cancel := context.WithTimeout(ctx, doorWait)
	defer cancel()
	return s.door.Here(ctx)
}

// isReady reports whether the process is the node's, can serve requests, and has a session with the fleet. No session
// is needed while the voters can't be reached.
func (s *Supervisor) isReady(ctx context.Context, p *process) bool {
	h, err := s.here(ctx)
	return err == nil && h.Pid == p.Pid && h.Able && (h.Session > 0 || s.unreached())
}

// start starts a process of the node, in its own process group, so that it does not end with the supervisor.
func (s *Supervisor) start(version string) (*process, error) {
	path, err := s.programs.Path(version)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, s.c.Args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if os.Getenv("TMPDIR") == "" { // the node's processes find each other there for a handover
		cmd.Env = append(os.Environ(), "TMPDIR="+s.c.Folder)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	if err := s.programs.Note(cmd.Process.Pid); err != nil {
		s.log.Error("supervise: a started process can't be recorded; a later supervisor may not find it", "pid", cmd.Process.Pid, "err", err)
	}
	p := &process{Process: cmd.Process, ended: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// foreignProcess wraps a process that this supervisor has not started, and polls whether it has ended.
func another(found *os.Process) *process {
	p := &process{Process: found, ended: make(chan struct{}), err: errors.New("it was not started by this supervisor: how it ended is not known")}
	go func() {
		for found.Signal(syscall.Signal(0)) == nil {
			time.Sleep(lookEvery)
		}
		close(p.ended)
	}()
	return p
}

// adoptOrEnd adopts the node that an earlier supervisor left running, and returns nil if there is none. It ends all
// other processes that earlier supervisors started: a supervisor that is killed during a replacement leaves two. If
// one process has handed its sockets over, its successor is adopted.
func (s *Supervisor) takeUp(ctx context.Context) (p *process) {
	for end := time.Now().Add(s.c.Ready); ctx.Err() == nil; {
		h, err := s.here(ctx)
		if err == nil && !h.Succeeded {
			p = s.adopt(ctx)
			break
		}
		left, err := s.programs.Left()
		if err != nil {
			s.log.Error("supervise: the list of processes that earlier supervisors started can't be read", "err", err)
		}
		if len(left) == 0 || time.Now().After(end) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(lookEvery):
		}
	}
	left, _ := s.programs.Left()
	for _, x := range left {
		if found, err := os.FindProcess(x.Pid); err == nil && (p == nil || x.Pid != p.Pid) {
			s.log.Warn("supervise: ends a process that a supervisor before this one has left", "pid", x.Pid)
			s.end(another(found))
		}
	}
	return p
}

// adopt adopts the node that an earlier supervisor left running, sets its version as the chosen one, and returns its
// process. It returns nil if no node of this name answers on the control socket. A node whose program is not in the
// folder is ended.
func (s *Supervisor) adopt(ctx context.Context) *process {
	h, err := s.here(ctx)
	if err != nil || h.Node != s.c.Fleet.Name {
		return nil
	}
	found, err := os.FindProcess(h.Pid) // a handle, which stays valid if the process ID is reused
	if err != nil {
		return nil
	}
	p := another(found)
	exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", h.Pid))
	version := filepath.Base(exe)
	if _, unknown := s.programs.Path(version); err == nil && unknown == nil && filepath.Dir(exe) == s.c.Folder {
		s.log.Info("supervise: takes up the node that runs", "pid", h.Pid, "version", version)
		s.choose(version)
		return p
	}
	s.log.Warn("supervise: ends the node that runs, since its program is not in the folder", "pid", h.Pid, "program", exe)
	s.end(p)
	return nil
}

// endProcess ends a process with SIGTERM, and with SIGKILL if it has not ended after EndTimeout.
func (s *Supervisor) end(p *process) {
	select {
	case <-p.ended:
		return
	default:
	}
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return
	case <-time.After(s.c.End):
	}
	p.Kill()
	select {
	case <-p.ended:
	case <-time.After(s.c.End):
		s.log.Error("supervise: the node does not end", "pid", p.Pid)
	}
}

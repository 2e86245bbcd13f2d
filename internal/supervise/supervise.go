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
	pollInterval    = 50 * time.Millisecond
	socketTimeout   = time.Second            // for an answer of the node on its control socket
	minRestartDelay = 200 * time.Millisecond // before a crashed node is started again; doubles with each crash in a row
	maxRestartDelay = 5 * time.Second
	reportInterval  = 3 * time.Second // until a report is sent again, since the voters may have lost it
	reportTimeout   = 2 * time.Second // for the result of a report
)

// Supervisor keeps the process of one node running in the version that the fleet orders.
type Supervisor struct {
	config   *Config
	programs *Programs
	client   *control.Control
	control  *control.APIClient
	log      *slog.Logger

	mu           sync.Mutex
	chosen       Chosen
	turn         *fleetpb.Turn       // order to change the version that is not begun yet; nil if there is none
	lastTurn     uint64              // epoch of the last turn that was begun
	report       *fleetpb.Supervised // newest report on the node
	reported     bool                // the voters have accepted that report
	lastAnswerAt time.Time           // when the voters last answered
	changed      chan struct{}       // has capacity 1; signals a new turn
}

// Run supervises the node until ctx ends, and then ends the node. If the supervisor itself is killed, the node keeps
// running and the next supervisor adopts it.
func Run(ctx context.Context, c *Config, log *slog.Logger) error {
	programs, err := OpenPrograms(c.ProgramFolder)
	if err != nil {
		return fmt.Errorf("%s: supervise.folder: %w", c.Path, err)
	}
	lock, err := programs.Lock(ctx, func() {
		log.Warn("supervise: another supervisor keeps this node; this one waits", "folder", c.ProgramFolder)
	})
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("%s: %w", c.Path, err)
	}
	defer lock.Close()
	s := &Supervisor{config: c, programs: programs, control: control.NewAPIClient(c.Fleet.Socket), log: log, changed: make(chan struct{}, 1), lastAnswerAt: time.Now()}
	if s.chosen, err = programs.Chosen(); err != nil {
		return fmt.Errorf("%s: %w", c.ProgramFolder, err)
	}
	if s.chosen.Version == "" { // first start: the node runs the program of this process
		self, err := os.Executable()
		if err != nil {
			return err
		}
		if s.chosen.Version, err = programs.Add(self); err != nil {
			return err
		}
		s.chosen.LastReady = s.chosen.Version
		if err := programs.SetChosen(s.chosen); err != nil {
			return err
		}
	}
	if s.client, err = control.NewClient(c.Fleet, log); err != nil {
		return err
	}
	defer s.client.CloseClient()
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { s.followOrders(ctx) })
	work.Go(func() { s.sendReports(ctx) })
	s.runNode(ctx)
	return nil
}

// followOrders receives the fleet's orders and stores new turns of this node.
func (s *Supervisor) followOrders(ctx context.Context) {
	version, log := uint64(0), ""
	for ctx.Err() == nil {
		o, err := s.client.AwaitOrders(ctx, version, log)
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.lastAnswerAt = time.Now()
		s.mu.Unlock()
		if o == nil {
			continue
		}
		version, log = o.Version, o.Log
		for _, t := range o.Turns {
			if t.Node != s.config.Fleet.Name {
				continue
			}
			s.mu.Lock()
			if t.Epoch > s.lastTurn {
				s.turn = t
				s.notifyChanged()
			}
			s.mu.Unlock()
		}
	}
}

// notifyChanged signals a new turn. The caller holds the lock.
func (s *Supervisor) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// setReport sets and logs the newest report on the node, which sendReports sends.
func (s *Supervisor) setReport(version, state, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report, s.reported = &fleetpb.Supervised{Node: s.config.Fleet.Name, Version: version, State: state, Turn: s.lastTurn, Why: why}, false
	s.log.Info("supervise: node", "version", version, "state", state, "turn", s.lastTurn, "why", why)
}

// sendReports sends the newest report to the voters until they accept it, and then again every reportInterval. A
// crash is counted by the release, so its report is not sent again once accepted.
func (s *Supervisor) sendReports(ctx context.Context) {
	var lastSentAt time.Time
	for ctx.Err() == nil {
		s.mu.Lock()
		report, reported := s.report, s.reported
		s.mu.Unlock()
		if report != nil && (!reported || report.State != fleet.UnitCrashed && time.Since(lastSentAt) > reportInterval) {
			once, cancel := context.WithTimeout(ctx, reportTimeout)
			r, err := s.client.Propose(once, &fleetpb.Entry{What: &fleetpb.Entry_Supervised{Supervised: report}})
			cancel()
			s.mu.Lock()
			if err == nil {
				lastSentAt, s.lastAnswerAt = time.Now(), time.Now()
				s.reported = s.reported || s.report == report
				if r.Code != fleetpb.Result_DONE {
					s.log.Warn("supervise: a report was not accepted", "word", report, "result", r)
				}
			}
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// takeTurn returns the turn that is to be begun and marks it as begun; nil if there is none.
func (s *Supervisor) takeTurn() *fleetpb.Turn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.turn
	if s.turn = nil; t != nil {
		s.lastTurn = t.Epoch
	}
	return t
}

// unreachable reports whether the voters have not answered for twice the lifetime of a session.
func (s *Supervisor) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastAnswerAt) > 2*s.config.Fleet.SessionTimeout
}

// process is a process of the node, which this or an earlier supervisor started.
type process struct {
	*os.Process
	ended   chan struct{} // closed once it has ended
	exitErr error         // how it ended
}

// runNode keeps the node running in the ordered version until ctx ends, and then ends it.
func (s *Supervisor) runNode(ctx context.Context) {
	p := s.adoptOrEnd(ctx)
	delay := minRestartDelay
	for ctx.Err() == nil {
		if p == nil {
			var err error
			if p, err = s.start(s.chosen.Version); err != nil {
				s.setReport(s.chosen.Version, fleet.UnitCrashed, err.Error())
				delay = s.awaitRestart(ctx, delay)
				continue
			}
			s.setReport(s.chosen.Version, fleet.UnitStarting, "")
		}
		want, failed := s.watchProcess(ctx, p)
		switch {
		case ctx.Err() != nil:
		case want != "":
			p = s.replace(ctx, p, want)
			delay = minRestartDelay
		default:
			s.setReport(s.chosen.Version, fleet.UnitCrashed, failed)
			s.endProcess(p)
			p = nil
			delay = s.awaitRestart(ctx, delay)
		}
	}
	if p != nil {
		s.endProcess(p)
	}
}

// watchProcess waits until another version is ordered or the process has failed. It returns the version or a
// description of the failure; both are empty if ctx ended.
func (s *Supervisor) watchProcess(ctx context.Context, p *process) (want, failed string) {
	startedAt, ready := time.Now(), false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-p.ended:
			return "", fmt.Sprintf("it ended after %v: %v", time.Since(startedAt).Round(time.Millisecond), p.exitErr)
		case <-s.changed:
		case <-time.After(pollInterval):
		}
		if !ready && s.isReady(ctx, p) {
			ready = true
			s.markReady()
			s.setReport(s.chosen.Version, fleet.UnitReady, "")
		}
		if t := s.takeTurn(); t != nil && t.Version != s.chosen.Version {
			return t.Version, ""
		} else if t != nil && ready {
			s.setReport(t.Version, fleet.UnitReady, "")
		}
		if !ready && time.Since(startedAt) > s.config.ReadyTimeout {
			return "", fmt.Sprintf("it is not ready after %v", s.config.ReadyTimeout)
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
	for delay := minRestartDelay; ; delay = min(2*delay, maxRestartDelay) {
		startedAt := time.Now()
		replacement, err := s.start(want)
		failed := ""
		if err != nil {
			failed = err.Error()
		} else {
			s.setReport(want, fleet.UnitStarting, "")
		}
		changed, endRequested := "", false
		for failed == "" && changed == "" && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-replacement.ended:
				failed = fmt.Sprintf("it ended after %v: %v", time.Since(startedAt).Round(time.Millisecond), replacement.exitErr)
				continue
			case <-s.changed:
			case <-time.After(pollInterval):
			}
			status, err := s.nodeStatus(ctx)
			switch {
			case err != nil:
			case status.Pid == old.Pid && status.Succeeded && !endRequested:
				endRequested = true
				old.Signal(syscall.SIGTERM) // it answers the requests that it has before it ends
			case status.Pid != old.Pid && status.Pid != replacement.Pid && status.Node == s.config.Fleet.Name:
				// An earlier supervisor had begun the turn, and the process that it started has taken over.
				if other := s.adopt(ctx); other != nil {
					s.endProcess(replacement)
					s.endProcess(old)
					if s.chosen.Version != want {
						return s.replace(ctx, other, want)
					}
					return other
				}
			}
			if s.canTakeOver(ctx, replacement) {
				s.endProcess(old) // normally it has ended already
				s.setVersion(want)
				s.markReady()
				s.setReport(want, fleet.UnitReady, "")
				return replacement
			}
			if t := s.takeTurn(); t != nil && t.Version != want {
				changed = t.Version
			}
			if time.Since(startedAt) > s.config.ReadyTimeout {
				failed = fmt.Sprintf("it is not ready after %v", s.config.ReadyTimeout)
			}
		}
		if replacement != nil {
			s.endProcess(replacement)
		}
		oldEnded := false
		select {
		case <-old.ended: // possible if it had handed over already
			oldEnded = true
		default:
		}
		if failed != "" {
			s.setReport(want, fleet.UnitCrashed, failed)
			timer := time.NewTimer(delay)
			for waiting := true; waiting; {
				select {
				case <-ctx.Done():
					waiting = false
				case <-timer.C:
					waiting = false
				case <-s.changed:
					if t := s.takeTurn(); t != nil && t.Version != want {
						changed, waiting = t.Version, false
					}
				}
			}
			timer.Stop()
			if changed == "" && s.unreachable() {
				s.log.Warn("supervise: the voters can't be reached; returns to the last version that was ready", "version", s.chosen.LastReady)
				changed = s.chosen.LastReady
			}
		}
		switch {
		case oldEnded:
			if changed != "" {
				s.setVersion(changed)
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
func (s *Supervisor) awaitRestart(ctx context.Context, delay time.Duration) time.Duration {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return delay
	case <-timer.C:
	case <-s.changed:
	}
	if t := s.takeTurn(); t != nil {
		s.setVersion(t.Version)
		return minRestartDelay
	}
	if s.unreachable() && s.chosen.Version != s.chosen.LastReady {
		s.log.Warn("supervise: the voters can't be reached; returns to the last version that was ready", "version", s.chosen.LastReady)
		s.setVersion(s.chosen.LastReady)
	}
	return min(2*delay, maxRestartDelay)
}

// setVersion sets the version that the next start runs.
func (s *Supervisor) setVersion(version string) {
	s.chosen.Version = version
	s.saveChosen()
}

// markReady records that the version that runs has been ready.
func (s *Supervisor) markReady() {
	s.chosen.LastReady = s.chosen.Version
	s.saveChosen()
}

func (s *Supervisor) saveChosen() {
	if err := s.programs.SetChosen(s.chosen); err != nil {
		s.log.Error("supervise: the chosen version can't be stored", "err", err)
	}
}

func (s *Supervisor) nodeStatus(ctx context.Context) (control.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, socketTimeout)
	defer cancel()
	return s.control.Status(ctx)
}

// isReady reports whether the process is to get requests. It may have to refuse them while its agent is silent: to start
// it again would not help.
func (s *Supervisor) isReady(ctx context.Context, p *process) bool {
	status, ok := s.statusInService(ctx, p)
	return ok && (status.CanServe || status.Ready)
}

// canTakeOver reports whether the process can serve requests, so that the one before may end.
func (s *Supervisor) canTakeOver(ctx context.Context, p *process) bool {
	status, ok := s.statusInService(ctx, p)
	return ok && status.CanServe
}

// statusInService returns the status of a process, and whether that is the node's and has a session with the fleet. No
// session is needed while the voters can't be reached.
func (s *Supervisor) statusInService(ctx context.Context, p *process) (status control.NodeStatus, ok bool) {
	status, err := s.nodeStatus(ctx)
	return status, err == nil && status.Pid == p.Pid && (status.Session > 0 || s.unreachable())
}

// start starts a process of the node, in its own process group, so that it does not end with the supervisor.
func (s *Supervisor) start(version string) (*process, error) {
	path, err := s.programs.Path(version)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, s.config.Args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if os.Getenv("TMPDIR") == "" { // the node's processes find each other there for a handover
		cmd.Env = append(os.Environ(), "TMPDIR="+s.config.ProgramFolder)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	if err := s.programs.RecordStarted(cmd.Process.Pid); err != nil {
		s.log.Error("supervise: a started process can't be recorded; a later supervisor may not find it", "pid", cmd.Process.Pid, "err", err)
	}
	p := &process{Process: cmd.Process, ended: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// foreignProcess wraps a process that this supervisor has not started, and polls whether it has ended.
func foreignProcess(found *os.Process) *process {
	p := &process{Process: found, ended: make(chan struct{}), exitErr: errors.New("it was not started by this supervisor: how it ended is not known")}
	go func() {
		for found.Signal(syscall.Signal(0)) == nil {
			time.Sleep(pollInterval)
		}
		close(p.ended)
	}()
	return p
}

// adoptOrEnd adopts the node that an earlier supervisor left running, and returns nil if there is none. It ends all
// other processes that earlier supervisors started: a supervisor that is killed during a replacement leaves two. If
// one process has handed its sockets over, its successor is adopted.
func (s *Supervisor) adoptOrEnd(ctx context.Context) (p *process) {
	for deadline := time.Now().Add(s.config.ReadyTimeout); ctx.Err() == nil; {
		status, err := s.nodeStatus(ctx)
		if err == nil && !status.Succeeded {
			p = s.adopt(ctx)
			break
		}
		running, err := s.programs.Running()
		if err != nil {
			s.log.Error("supervise: the list of processes that earlier supervisors started can't be read", "err", err)
		}
		if len(running) == 0 || time.Now().After(deadline) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	running, _ := s.programs.Running()
	for _, x := range running {
		if found, err := os.FindProcess(x.Pid); err == nil && (p == nil || x.Pid != p.Pid) {
			s.log.Warn("supervise: ends a process that a supervisor before this one has left", "pid", x.Pid)
			s.endProcess(foreignProcess(found))
		}
	}
	return p
}

// adopt adopts the node that an earlier supervisor left running, sets its version as the chosen one, and returns its
// process. It returns nil if no node of this name answers on the control socket. A node whose program is not in the
// folder is ended.
func (s *Supervisor) adopt(ctx context.Context) *process {
	status, err := s.nodeStatus(ctx)
	if err != nil || status.Node != s.config.Fleet.Name {
		return nil
	}
	found, err := os.FindProcess(status.Pid) // a handle, which stays valid if the process ID is reused
	if err != nil {
		return nil
	}
	p := foreignProcess(found)
	exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", status.Pid))
	version := filepath.Base(exe)
	if _, unknown := s.programs.Path(version); err == nil && unknown == nil && filepath.Dir(exe) == s.config.ProgramFolder {
		s.log.Info("supervise: takes up the node that runs", "pid", status.Pid, "version", version)
		s.setVersion(version)
		return p
	}
	s.log.Warn("supervise: ends the node that runs, since its program is not in the folder", "pid", status.Pid, "program", exe)
	s.endProcess(p)
	return nil
}

// endProcess ends a process with SIGTERM, and with SIGKILL if it has not ended after EndTimeout.
func (s *Supervisor) endProcess(p *process) {
	select {
	case <-p.ended:
		return
	default:
	}
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return
	case <-time.After(s.config.EndTimeout):
	}
	p.Kill()
	select {
	case <-p.ended:
	case <-time.After(s.config.EndTimeout):
		s.log.Error("supervise: the node does not end", "pid", p.Pid)
	}
}

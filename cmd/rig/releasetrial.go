package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"starlingvalve/internal/control"
	agreed "starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/standin"
)

// releaseTrial runs releases of good and bad versions one after another on one cluster.
type releaseTrial struct {
	p                       *cluster
	servers                 *fleet
	random                  *rand.Rand
	bad, program            []byte            // binaries: the program with testdata/bad.go, and without
	currentVersion          string            // version that all nodes have between releases
	number                  int               // of the last request ID and version
	slow, failing, refusing *standin.Registry // lists with slower servers, with failing ones, and with closed ports
	waves                   [][]string        // names of the nodes in each wave

	violations []string // violations that were found
	runs       []releaseRun
}

// releaseRun is the course of one release, as the rig observed it.
type releaseRun struct {
	kind          string
	state, cause  string
	wave          int           // last wave that began, counted from 1
	affected      int           // nodes that got the version
	halted, ended time.Duration // since the start; halted is 0 if it never halted
	resumes       int           // times that the rig, as the operator, resumed it
}

// addViolation records a violation and writes it to the history.
func (r *releaseTrial) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
	r.p.history.note("WRONG", format, args...)
}

// sideRegistry makes a registry that lists each server at an additional listener, which treats requests as side says.
func (f *fleet) sideRegistry(side standin.SideOptions) (*standin.Registry, error) {
	var entries []standin.Entry
	for _, s := range f.servers {
		e := standin.EntryOf(s)
		var err error
		if e.Addr, err = s.SideListener(side); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return standin.NewRegistry(entries...)
}

// registries makes the registries that bad versions use: slow, failing, and refusing.
func (r *releaseTrial) registries(seed uint64) (err error) {
	if r.slow, err = r.servers.sideRegistry(standin.SideOptions{WorkFactor: 1.1}); err != nil {
		return err
	}
	draw := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	if r.failing, err = r.servers.sideRegistry(standin.SideOptions{FailsClass: func(class string) bool {
		mu.Lock()
		defer mu.Unlock()
		return class == "cut-order" && draw.IntN(50) == 0
	}}); err != nil {
		return err
	}
	if r.refusing, err = r.servers.sideRegistry(standin.SideOptions{}); err != nil {
		return err
	}
	for _, s := range r.servers.servers { // at a port on which no process listens
		e := standin.EntryOf(s)
		if e.Addr, err = freePort("tcp"); err != nil {
			return err
		}
		r.refusing.Set(e)
	}
	return nil
}

// close closes the registries.
func (r *releaseTrial) close() {
	for _, list := range []*standin.Registry{r.slow, r.failing, r.refusing} {
		if list != nil {
			list.Close()
		}
	}
}

// addProgram adds a program to the store of every supervisor, and returns its version.
func (r *releaseTrial) addProgram(content []byte) (version string, err error) {
	path := filepath.Join(r.p.w.dir, "program")
	if err := os.WriteFile(path, content, 0o700); err != nil {
		return "", err
	}
	for _, m := range r.p.members {
		cmd := exec.Command(r.p.w.binary, "supervise", m.supervisorFile(), "--add", path)
		var faults bytes.Buffer
		cmd.Stderr = &faults
		out, err := cmd.Output()
		if err != nil {
			return "", fmt.Errorf("supervise --add: %w: %s", err, faults.String())
		}
		version = strings.TrimSpace(string(out))
	}
	return version, nil
}

// state returns the replicated state, read through a random member that answers; nil if none does.
func (r *releaseTrial) state(ctx context.Context) *fleetpb.State {
	for _, i := range r.random.Perm(len(r.p.members)) {
		once, cancel := context.WithTimeout(ctx, 2*time.Second)
		s, err := control.NewAPIClient(r.p.members[i].socket).State(once)
		cancel()
		if err == nil {
			return s
		}
	}
	return nil
}

// command runs a release command through a random member, and retries it under the same request ID while no answer comes.
// It returns the output and the exit code.
func (r *releaseTrial) command(ctx context.Context, args ...string) (text string, code int) {
	r.number++
	args = append(args, "--ask", fmt.Sprintf("release-%d", r.number), "-o", "json")
	for end := time.Now().Add(2 * settleWait); time.Now().Before(end) && ctx.Err() == nil; sleepFor(ctx, 50*time.Millisecond) {
		m := r.p.members[r.random.IntN(len(r.p.members))]
		if text, code = r.p.command(ctx, m, "release", args...); code != 6 && code >= 0 {
			break
		}
	}
	r.p.history.note("op", "%v: exit code %d, %s", args, code, strings.TrimSpace(text))
	return text, code
}

// releaseLimit is the longest time that a release may take.
const releaseLimit = 5 * time.Minute

// release releases one version and waits for the end of the release. It resumes the release of a good version that faults
// have halted.
func (r *releaseTrial) release(ctx context.Context, kind badKind) (run releaseRun, version string, err error) {
	run.kind = kind.name
	r.number++
	content, tail := r.program, fmt.Sprintf("\nnext %d\n", r.number)
	if kind.trailer != nil {
		content, tail = r.bad, fmt.Sprintf("\nbad %s %d\n", kind.trailer(r), r.number)
	}
	if version, err = r.addProgram(append(slices.Clone(content), tail...)); err != nil {
		return run, "", err
	}
	name := fmt.Sprintf("r%d", r.number)
	text := fmt.Sprintf("[release]\nname = %q\nversion = %q\nbefore = %q\nwhy = %q\nsoak_ms = 300\nlimit_ms = 90000\nmost_crashes = 3\nhealth = true\nturn_back = %v\n",
		name, version, r.currentVersion, kind.name, kind.cause != "")
	for i, w := range r.waves {
		nodes, _ := json.Marshal(w)
		text += fmt.Sprintf("\n[[wave]]\nnodes = %s\nmixed = %v\n", nodes, i == len(r.waves)-1)
	}
	file := filepath.Join(r.p.w.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return run, "", err
	}
	if text, code := r.command(ctx, "start", file); code != 0 {
		return run, "", fmt.Errorf("%s: start: exit code %d: %s", kind.name, code, text)
	}
	began, gotVersion, lastState := time.Now(), map[string]bool{}, ""
	for ; ctx.Err() == nil; sleepFor(ctx, 50*time.Millisecond) {
		s := r.state(ctx)
		if s == nil || s.Release == nil || s.Release.Plan.Name != name {
			continue
		}
		release := s.Release
		for n, t := range release.Turns {
			gotVersion[n] = gotVersion[n] || t.Version == version
		}
		for n, u := range s.Units {
			gotVersion[n] = gotVersion[n] || u.Version == version
		}
		run.state, run.wave = release.State, max(run.wave, int(release.Wave)+1)
		if release.State != lastState {
			r.p.history.note("op", "%s %s: %s, wave %d: %s", name, kind.name, release.State, release.Wave+1, release.Cause)
			lastState = release.State
			if run.cause == "" && release.State != agreed.Running && release.State != agreed.Done {
				run.halted, run.cause = time.Since(began), release.Cause
			}
		}
		over := release.State == agreed.Done || release.State == agreed.RolledBack || release.State == agreed.Failed
		if kind.cause == "" && release.State == agreed.Halted {
			run.resumes++
			r.command(ctx, "resume", name, "--why", "faults, and not the version")
		}
		if over && len(release.Turns) == 0 {
			break
		}
		if time.Since(began) > releaseLimit {
			r.addViolation("%s: release not over within %v: %s, wave %d: %s", kind.name, releaseLimit, release.State, release.Wave+1, release.Cause)
			r.command(ctx, "back", name)
			break
		}
	}
	for n, yes := range gotVersion {
		if !yes {
			delete(gotVersion, n)
		}
	}
	run.ended, run.affected = time.Since(began), len(gotVersion)
	return run, version, ctx.Err()
}

// judge checks a run against the expected outcome of its kind. found reports that the release halted by the kind's own
// cause; it is always true for a good version.
func (r *releaseTrial) judge(ctx context.Context, kind badKind, run releaseRun, version string) (found bool) {
	wantVersion, allReady := r.currentVersion, false
	if kind.cause == "" {
		wantVersion = version
		if run.state != agreed.Done {
			r.addViolation("good: %s: %s", run.state, run.cause)
			return true
		}
		r.currentVersion = version
	} else if run.state != agreed.RolledBack {
		r.addViolation("%s: %s: %s", kind.name, run.state, run.cause)
	}
	versions := map[string]string{}
	for end := time.Now().Add(settleWait); !allReady && time.Now().Before(end) && ctx.Err() == nil; sleepFor(ctx, 50*time.Millisecond) {
		if s := r.state(ctx); s != nil {
			allReady = true
			for _, m := range r.p.members {
				u := s.Units[m.name]
				versions[m.name] = fmt.Sprintf("%s %s", u.GetVersion(), u.GetState())
				allReady = allReady && u.GetVersion() == wantVersion && u.GetState() == agreed.UnitReady
			}
		}
	}
	if !allReady && ctx.Err() == nil {
		r.addViolation("%s: not all nodes are at version %s: %v", kind.name, wantVersion, versions)
	}
	if kind.cause == "" {
		return true
	}
	allowed := 0
	for _, w := range r.waves[:min(run.wave, len(r.waves))] {
		allowed += len(w)
	}
	if run.affected > allowed || run.wave > min(kind.maxWaves, len(r.waves)) {
		r.addViolation("%s: %d nodes got it, and wave %d began: %s", kind.name, run.affected, run.wave, run.cause)
	}
	return strings.Contains(run.cause, kind.cause)
}

// Command play runs the cases of the review: it starts nodes with the deploy file's command, plays clients, servers and
// discovery round them, and checks one rule by what these saw. Its arguments are the case and the case's folder. It
// exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// longest is how long a case may run.
const longest = 110 * time.Second

// play is one run of a case.
type play struct {
	trouble bool
	command string // of the deploy file
	dir     string // temporary
	began   time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*node
	over   bool // no process is started any more
}

var cases = map[string]func(*play) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(playCase func(*play) error, folder string) int {
	p := &play{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if p.command, err = deployCommand("deploy/balancer.toml"); err == nil {
		if p.dir, err = os.MkdirTemp("", "review"); err == nil {
			p.record, err = os.Create(filepath.Join(folder, "record.txt"))
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(p.dir)
	defer p.record.Close()
	p.note("trouble=%v", p.trouble)
	ended := make(chan error, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { ended <- playCase(p) }()
	select {
	case err = <-ended:
	case <-time.After(longest):
		err = errors.New("the case took too long")
	case s := <-signals:
		err = fmt.Errorf("ended by %v", s)
	}
	p.mu.Lock()
	nodes := p.nodes
	p.over = true
	p.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	code := 0
	switch {
	case errors.Is(err, errBroken):
		code = 1
	case err != nil:
		code = 2
	}
	verdict := fmt.Sprintf("exit %d: %s", code, []string{"the rule held", "the rule was broken", "the case could not run"}[code])
	if err != nil {
		verdict += ": " + err.Error()
	}
	p.note("%s", verdict)
	fmt.Println(verdict)
	return code
}

// note writes one line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.3f %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// deployCommand returns the line run of the deploy file.
func deployCommand(path string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", errors.New("the deploy file has no line run")
}

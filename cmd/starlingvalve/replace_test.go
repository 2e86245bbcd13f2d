package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"os/exec"

	"golang.org/x/sys/unix"

	"starlingvalve/internal/standin"
	"starlingvalve/internal/testkit"
)

// reservedAddr returns an address of 127.0.0.1 with a port that the kernel chose. The port stays bound with
// SO_REUSEPORT, so that only processes of this user can listen there. Nobody listens yet.
func reservedAddr(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	a, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", a.(*unix.SockaddrInet4).Port)
}

// replaceableNode is a node whose processes replace one another.
type replaceableNode struct {
	t               *testing.T
	config, dir     string
	listen, opsAddr string
	program         string // path of the program; empty: the test binary
	server          *standin.Server
}

func newReplaceableNode(t *testing.T) *replaceableNode {
	t.Helper()
	server, err := standin.NewServer(standin.ServerOptions{Name: "s"},
		map[string]standin.Work{"c": {Time: 5 * time.Millisecond, Bytes: 100}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	node := &replaceableNode{t: t, listen: reservedAddr(t), server: server, dir: t.TempDir()}
	node.config = fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":384},
		"known":{"version":1,"full":true,"servers":[{"id":"s-00000001","addr":%q,"zone":"z","state":"ready","weight":1}]},"settings":{
		"caps":{"connect_timeout_ns":2000000000,"cancel":true,"max_attempts":2},"classes":[{"name":"c","effect":"fragile","deadline_ns":3000000000,"aim_ns":2500000000}]}}`,
		node.listen, testkit.AgentWithoutNews(t), server.Addr)
	return node
}

// start starts a process and waits until it is ready. The process is killed after two minutes.
func (n *replaceableNode) start() *exec.Cmd {
	n.t.Helper()
	cmd, _ := programCommand(n.t, n.config)
	if n.program != "" {
		cmd.Path, cmd.Args = n.program, []string{n.program}
	}
	cmd.Stderr = nil
	cmd.Env = append(cmd.Env, "TMPDIR="+n.dir, "GW_OPS=127.0.0.1:0")
	log, err := cmd.StderrPipe()
	if err != nil {
		n.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	guard := time.AfterFunc(2*time.Minute, func() { cmd.Process.Kill() })
	lines := bufio.NewScanner(log)
	for n.opsAddr = ""; n.opsAddr == "" && lines.Scan(); {
		_, n.opsAddr, _ = strings.Cut(lines.Text(), "ops=")
	}
	go io.Copy(io.Discard, log) // until the process has ended
	n.t.Cleanup(func() { guard.Stop(); cmd.Process.Kill(); cmd.Wait() })
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + n.opsAddr + "/healthcheck"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return cmd
			}
		}
	}
	n.t.Fatal("the process does not become ready")
	return nil
}

// load sends requests on kept and on new connections until ctx ends. It returns the number of requests served so far,
// the errors, and a function that waits for the clients to end.
func (n *replaceableNode) load(ctx context.Context) (served *atomic.Int64, problems chan string, wait func()) {
	served, problems = new(atomic.Int64), make(chan string, 1000)
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for number := 0; ctx.Err() == nil; number++ {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", n.listen); err != nil {
						problems <- "refused: " + err.Error()
						continue
					}
					conn.SetDeadline(time.Now().Add(20 * time.Second))
					reader = bufio.NewReader(conn)
				}
				fmt.Fprintf(conn, "POST /c HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %d.%d\r\nX-Time-Left: 3\r\nContent-Length: 0\r\n\r\n", i, number)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					problems <- fmt.Sprintf("%d.%d: %v", i, number, err)
					conn.Close()
					conn = nil
					continue
				}
				io.Copy(io.Discard, resp.Body)
				switch resp.StatusCode {
				case 200:
					served.Add(1)
				case 503: // allowed, as a new process knows little of its server's capacity
				default:
					problems <- fmt.Sprintf("%d.%d: status %d", i, number, resp.StatusCode)
				}
				if resp.Close || i%2 == 0 {
					conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	return served, problems, clients.Wait
}

// check reports the errors of load and each request that ran more than once.
func (n *replaceableNode) check(wrong chan string) {
	n.t.Helper()
	close(wrong)
	for problem := range wrong {
		n.t.Error(problem)
	}
	ran := map[string]int{}
	for _, e := range n.server.Log() {
		if e.Ran {
			ran[e.ID]++
		}
	}
	for id, times := range ran {
		if times > 1 {
			n.t.Errorf("%s ran %d times", id, times)
		}
	}
}

// A process is replaced 20 times under load: no connection is refused or reset, no request is lost or runs twice, and
// each old process exits by itself with code 0.
func TestReplacedUnderLoad(t *testing.T) {
	node := newReplaceableNode(t)
	old := node.start()
	ctx, stop := context.WithCancel(t.Context())
	served, wrong, wait := node.load(ctx)
	for range 20 {
		before := served.Load()
		next := node.start()
		old.Process.Signal(syscall.SIGTERM)
		if err := old.Wait(); err != nil {
			t.Error("the old process:", err)
		}
		for end := time.Now().Add(20 * time.Second); served.Load() == before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if served.Load() == before {
			t.Error("nothing was served")
		}
		old = next
	}
	stop()
	wait()
	node.check(wrong)
	if left, _ := filepath.Glob(filepath.Join(node.dir, "*.sock*")); len(left) != 1 {
		t.Errorf("socket files: %v", left)
	}
	old.Process.Signal(syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Error(err)
	}
	if left, _ := filepath.Glob(filepath.Join(node.dir, "*")); len(left) != 0 {
		t.Errorf("left behind: %v", left)
	}
}

// If a successor is killed, its predecessor continues to serve. A predecessor that is killed or hangs does not keep
// its successor from serving, nor does a stale socket file, or one whose listener sends invalid messages.
func TestReplacementGoesWrong(t *testing.T) {
	node := newReplaceableNode(t)
	ask := func(when string) {
		t.Helper()
		client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		req, _ := http.NewRequest(http.MethodPost, "http://"+node.listen+"/c", nil)
		req.Header.Set("X-Correlation-Id", strings.ReplaceAll(when, " ", "-"))
		req.Header.Set("X-Time-Left", "3")
		resp, err := client.Do(req)
		if err != nil {
			t.Fatalf("%s: %v", when, err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Errorf("%s: status %d", when, resp.StatusCode)
		}
	}
	old := node.start()
	dead := node.start()
	dead.Process.Kill()
	dead.Wait()
	ask("the successor was killed")
	next := node.start()
	old.Process.Kill()
	old.Wait()
	ask("the predecessor was killed")
	next.Process.Kill() // its socket file stays without a listener
	next.Wait()
	next = node.start()
	ask("a stale file")
	next.Process.Signal(syscall.SIGSTOP) // the kernel still accepts connections to its socket
	beside := node.start()
	next.Process.Kill()
	next.Wait()
	ask("the old one hung")
	beside.Process.Kill()
	beside.Wait()

	files, _ := filepath.Glob(filepath.Join(node.dir, "*.sock"))
	if len(files) != 1 {
		t.Fatalf("socket files: %v", files)
	}
	os.Remove(files[0])
	hostile, err := net.Listen("unix", files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer hostile.Close()
	go func() {
		for i := 0; ; i++ {
			c, err := hostile.Accept()
			if err != nil {
				return
			}
			io.WriteString(c, []string{"\xff\xff\xff\xff{}", "\x00\x00\x00\x02{}",
				"\x00\x00\x00\x40{\"version\":1,\"state\":"}[i%3])
		}
	}()
	node.start()
	ask("a hostile file")
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

type object = map[string]any

// nodeOptions are the settings of a node.
type nodeOptions struct {
	name      string
	discovery string
	settings  object
	peers     []string // UDP addresses of all nodes; none: no messages between nodes
	self      int
	known     any // the list of backends as the node last had it; nil: none
}

// node is one node: its configuration, and its process while it runs.
type node struct {
	play   *play
	name   string
	addr   string
	config string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
}

// freeAddr returns a loopback address whose port is free.
func freeAddr(network string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newNode writes the configuration of a node; start runs it.
func (p *play) newNode(o nodeOptions) (*node, error) {
	n := &node{play: p, name: o.name, addr: freeAddr("tcp"), config: filepath.Join(p.dir, o.name+".json")}
	file := object{"name": o.name, "listen": n.addr, "discovery": o.discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": o.settings}
	if len(o.peers) > 0 {
		file["peer_listen"], file["peers"] = o.peers[o.self], o.peers
	}
	if o.known != nil {
		file["known"] = o.known
	}
	raw, err := json.MarshalIndent(file, "", " ")
	if err == nil {
		err = os.WriteFile(n.config, raw, 0o600)
	}
	p.mu.Lock()
	p.nodes = append(p.nodes, n)
	p.mu.Unlock()
	return n, err
}

// start starts the node's process, with an empty TMPDIR as the platform does.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.play.mu.Lock()
	over := n.play.over
	n.play.mu.Unlock()
	if over {
		return errors.New("the case is over")
	}
	n.starts++
	temp := filepath.Join(n.play.dir, fmt.Sprintf("%s-tmp-%d", n.name, n.starts))
	if err := os.Mkdir(temp, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.play.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", n.play.command)
	command.Env = append(os.Environ(), "GW_CONFIG="+n.config, "TMPDIR="+temp)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = command, ended
	go func() {
		err := command.Wait()
		n.play.note("%s ended: %v", n.name, err)
		close(ended)
	}()
	n.play.note("%s started as process %d at %s", n.name, command.Process.Pid, n.addr)
	return nil
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if answer, err := client.Get("http://" + n.addr + "/health/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				n.play.note("%s is ready", n.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name, limit)
}

// signal sends a signal to the node's process, which the command of the deploy file starts in place of the shell.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.play.note("%s gets signal %d (%v)", n.name, int(s), s)
		n.process.Process.Signal(s)
	}
}

// awaitEnd waits for the end of the process and reports whether it came within limit.
func (n *node) awaitEnd(limit time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process, if it runs.
func (n *node) kill() {
	n.mu.Lock()
	process, ended := n.process, n.ended
	n.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	syscall.Kill(-process.Process.Pid, syscall.SIGKILL)
	<-ended
}

package main

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost"] = playLost }

// playLost has clients send three commands at once on each connection, while one node after another is told to end. A
// command whose connection was ended without a whole answer is lost, unless the node can't have read it.
func playLost(p *play) error {
	_, _, nodes, err := p.newKampklip(10, 3)
	if err != nil {
		return err
	}
	const connections, commandsAtOnce = 6, 3
	var mu sync.Mutex
	var all []*command
	stop := make(chan struct{})
	var clients sync.WaitGroup
	batches := 0
	for _, n := range nodes {
		for range connections {
			clients.Go(func() {
				c, in := net.Conn(nil), (*bufio.Reader)(nil)
				for {
					select {
					case <-stop:
						if c != nil {
							c.Close()
						}
						return
					default:
					}
					if c == nil {
						var err error
						if c, err = net.DialTimeout("tcp", n.addr, time.Second); err != nil {
							c = nil
							time.Sleep(100 * time.Millisecond) // the node has ended: the front deals out no connection to it
							continue
						}
						in = bufio.NewReader(c)
					}
					mu.Lock()
					batches++
					batch := batches
					mu.Unlock()
					var commands []*command
					for i := range commandsAtOnce {
						commands = append(commands, &command{id: newID(), method: "GET", class: "viewer-clip", left: 1500 * time.Millisecond,
							batch: batch, place: i})
					}
					c.SetDeadline(time.Now().Add(4 * time.Second))
					open := sendAtOnce(c, in, commands)
					mu.Lock()
					all = append(all, commands...)
					mu.Unlock()
					for _, one := range commands {
						p.note("client of %s: batch %d command %d %s sent %.3f status=%d %s", n.name, batch, one.place, one.id,
							one.sent.Sub(p.began).Seconds(), one.status, one.problem)
					}
					if !open {
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	for _, n := range nodes[:2] {
		if p.trouble {
			n.signal(syscall.SIGTERM)
			if !n.awaitEnd(3700 * time.Millisecond) { // the longest deadline, 3 s at most, and 0.7 s more
				n.signal(syscall.SIGKILL)
				n.awaitEnd(time.Second)
			}
			if err := n.start(); err != nil {
				return err
			}
			if err := n.awaitReady(30 * time.Second); err != nil {
				return err
			}
		} else {
			time.Sleep(4 * time.Second)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	clients.Wait()
	firstAnswered := map[int]bool{}
	counts := map[int]int{}
	lost, crossed := 0, 0
	for _, one := range all {
		counts[one.status]++
		if one.place == 0 && one.status != 0 {
			firstAnswered[one.batch] = true
		}
	}
	for _, one := range all {
		switch {
		case one.status != 0:
		case firstAnswered[one.batch]:
			// The batch was one write of under 700 bytes, and its first command has been read and answered.
			lost++
			p.note("LOST %s: sent %.3f with a command that was answered, its connection ended %.3f without an answer", one.id,
				one.sent.Sub(p.began).Seconds(), one.ended.Sub(p.began).Seconds())
		default:
			crossed++
		}
	}
	p.note("%d commands; by status %v; %d lost; %d on connections that ended before any answer to their batch", len(all), counts, lost, crossed)
	if lost > 0 {
		return errBroken
	}
	return nil
}

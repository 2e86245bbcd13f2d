package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused has clients send several keyed commands at once on each connection, while some connections from nodes to
// servers are reset under requests that have begun. A refusal of a keyed request of which an attempt has run breaks
// the rule; the client then does what a refusal allows, and tries again.
func playRefused(p *play) error {
	backends, _, nodes, err := p.newKampklip(12, 3)
	if err != nil {
		return err
	}
	if p.trouble {
		for _, b := range backends {
			var mu sync.Mutex
			n := rand.IntN(20)
			b.resetAfter = func(string) (time.Duration, bool) { // one of twenty, under way for as long as the work usually takes
				mu.Lock()
				defer mu.Unlock()
				n++
				return 150 * time.Millisecond, n%20 == 0
			}
		}
	}
	const connections, commandsAtOnce, bodyBytes = 4, 4, 40 << 10
	var mu sync.Mutex
	var all []*command
	again := map[string]int{} // tries after a refusal, by key
	end := time.Now().Add(25 * time.Second)
	var clients sync.WaitGroup
	batches := 0
	for _, n := range nodes {
		for range connections {
			clients.Go(func() {
				c, in := net.Conn(nil), (*bufio.Reader)(nil)
				var retry []string // keys of refused commands, which are tried again
				for time.Now().Before(end) {
					if len(retry) > 0 {
						time.Sleep(500 * time.Millisecond) // what Retry-After asks for
					}
					if c == nil {
						var err error
						if c, err = net.DialTimeout("tcp", n.addr, time.Second); err != nil {
							c = nil
							time.Sleep(100 * time.Millisecond)
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
						one := &command{id: newID(), method: "POST", class: "tag-event", body: bodyBytes, left: 3 * time.Second, batch: batch, place: i}
						if one.key = "k" + one.id; len(retry) > 0 {
							one.key, retry = retry[0], retry[1:]
						}
						commands = append(commands, one)
					}
					c.SetDeadline(time.Now().Add(5 * time.Second))
					open := sendAtOnce(c, in, commands)
					mu.Lock()
					all = append(all, commands...)
					for _, one := range commands {
						p.note("client of %s: batch %d command %d %s key=%s sent %.3f status=%d answered %.3f %s", n.name, batch, one.place, one.id,
							one.key, one.sent.Sub(p.began).Seconds(), one.status, one.answered.Sub(p.began).Seconds(), one.problem)
						if (one.status == 503 || one.status == 429) && again[one.key] < 2 { // clients try again up to twice
							again[one.key]++
							retry = append(retry, one.key)
						}
					}
					mu.Unlock()
					if !open {
						c = nil
					}
				}
				if c != nil {
					c.Close()
				}
			})
		}
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	ran := map[string][]receipt{}     // by id of the request
	effects := map[string][]receipt{} // by key
	for _, b := range backends {
		for _, r := range b.receipts() {
			if r.ran {
				ran[r.id] = append(ran[r.id], r)
				if !r.repeat {
					effects[r.key] = append(effects[r.key], r)
				}
			}
		}
	}
	counts, broken := map[int]int{}, 0
	for _, one := range all {
		counts[one.status]++
		if (one.status == 503 || one.status == 429) && len(ran[one.id]) > 0 {
			broken++
			p.note("BROKEN %s key=%s: answered %d at %.3f, but server %s of cell %d had begun it at %.3f", one.id, one.key, one.status,
				one.answered.Sub(p.began).Seconds(), ran[one.id][0].server, ran[one.id][0].cell, ran[one.id][0].received.Sub(p.began).Seconds())
		}
	}
	twice := 0
	for key, list := range effects {
		if len(list) > 1 {
			twice++
			where := ""
			for _, r := range list {
				where += fmt.Sprintf(" %s in cell %d at %.3f as %s;", r.server, r.cell, r.received.Sub(p.began).Seconds(), r.id)
			}
			p.note("TWICE %s took effect %d times:%s", key, len(list), where)
		}
	}
	p.note("%d commands; by status %v; %d refused although they had run; %d keys took effect more than once", len(all), counts, broken, twice)
	if broken > 0 {
		return errBroken
	}
	return nil
}

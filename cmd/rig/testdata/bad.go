// This file is added to the program's main package in a separate build, to make faulty releases. The fault is read from
// the end of the executable, as "\nbad KIND VALUE", so that a single build serves all faulty versions.

package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"starlingvalve/internal/control"
)

var leaked [][]byte

func init() {
	if len(os.Args) < 3 || os.Args[1] != "-fleet" {
		return // an operator's command, not a node
	}
	self, err := os.Open("/proc/self/exe")
	if err != nil {
		panic(err)
	}
	raw := make([]byte, 100) // the end only: reading the whole file would add to this version's memory use
	if _, err := self.Seek(-int64(len(raw)), io.SeekEnd); err != nil {
		panic(err)
	}
	if _, err := io.ReadFull(self, raw); err != nil {
		panic(err)
	}
	self.Close()
	tail := string(raw)
	kind, value, _ := strings.Cut(strings.TrimSpace(tail[strings.LastIndex(tail, "\nbad ")+5:]), " ")
	value, _, _ = strings.Cut(value, " ") // text after the value only makes the version's content differ
	switch kind {
	case "crash":
		os.Exit(3)
	case "never":
		time.Sleep(time.Hour)
	case "discovery": // overrides the discovery address: discovery reports the servers as worse than they are
		os.Setenv("GW_DISCOVERY", value)
	case "leak":
		go func() {
			for ; ; time.Sleep(100 * time.Millisecond) {
				piece := make([]byte, 1<<20)
				for i := 0; i < len(piece); i += 4096 {
					piece[i] = 1
				}
				leaked = append(leaked, piece)
			}
		}()
	case "zone": // exits at startup in the given zone
		var c struct{ Settings struct{ Zone string } }
		if raw, err := os.ReadFile(os.Getenv("GW_CONFIG")); err != nil || json.Unmarshal(raw, &c) != nil || c.Settings.Zone == value {
			os.Exit(3)
		}
	case "leader": // exits once it is the leader
		c, err := control.Load(os.Args[2], time.Now())
		if err != nil {
			panic(err)
		}
		go func() {
			for ; ; time.Sleep(50 * time.Millisecond) {
				h, err := control.NewAPIClient(c.Socket).Status(context.Background())
				if err == nil && h.Pid == os.Getpid() && h.Voter == "leads" {
					os.Exit(7)
				}
			}
		}()
	default:
		panic(kind)
	}
}

package main

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a backend in discovery's form.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is discovery's answer.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for discovery.
type discovery struct {
	addr string

	mu      sync.Mutex
	version int
	order   []string
	entries map[string]entry
	since   map[string]int
	changed chan struct{}
	slow    bool // a call waits slowTurn for its turn, and its answer takes slowWriting to be written
	told    func(what string)
}

// newDiscovery starts a discovery with these backends.
func newDiscovery(backends []*backend, told func(string)) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), version: 1, entries: map[string]entry{}, since: map[string]int{},
		changed: make(chan struct{}), told: told}
	for _, b := range backends {
		d.order = append(d.order, b.id)
		d.entries[b.id] = entry{ID: b.id, Addr: b.addr, Zone: b.zone, Kind: b.kind, Cell: b.cell, State: "ready", Weight: 1}
		d.since[b.id] = 1
	}
	go (&http.Server{Handler: d, ErrorLog: log.New(io.Discard, "", 0)}).Serve(l)
	return d, nil
}

// set changes the state of a backend, as a new version.
func (d *discovery) set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	e := d.entries[id]
	e.State = state
	d.entries[id], d.since[id] = e, d.version
	close(d.changed)
	d.changed = make(chan struct{})
}

// A slow discovery. The wait for a call's turn is below the site's timeout_ms, so that the call does not fail.
const (
	slowTurn    = 1800 * time.Millisecond
	slowWriting = 1800 * time.Millisecond
)

// setSlow makes discovery slow, or ends that.
func (d *discovery) setSlow(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = on
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes(-1)
}

// changes returns the whole list, or the changes since a version. The caller holds the lock.
func (d *discovery) changes(since int) list {
	out := list{Version: d.version, Full: since < 0, Servers: []entry{}}
	for _, id := range d.order {
		if e := d.entries[id]; since < 0 && e.State != "gone" || since >= 0 && d.since[id] > since {
			out.Servers = append(out.Servers, e)
		}
	}
	return out
}

// ServeHTTP answers GET /registry/instances.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	since := -1
	if v := query.Get("since"); v != "" {
		since, _ = strconv.Atoi(v)
	}
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	end := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer end.Stop()
	for timeUp := false; ; {
		d.mu.Lock()
		changed, version, slow := d.changed, d.version, d.slow
		answer := d.changes(since)
		d.mu.Unlock()
		if since < 0 || version > since || timeUp {
			raw, err := json.Marshal(answer)
			if err != nil {
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
			if slow {
				d.told(r.RemoteAddr + " calls " + r.URL.RequestURI())
				time.Sleep(slowTurn)
				w.Write(raw[:len(raw)/2])
				http.NewResponseController(w).Flush()
				time.Sleep(slowWriting)
				raw = raw[len(raw)/2:]
			}
			if _, err := w.Write(raw); err != nil || r.Context().Err() != nil {
				d.told(r.RemoteAddr + " has given its call up")
			} else if len(answer.Servers) > 0 {
				d.told(r.RemoteAddr + " " + string(raw))
			}
			return
		}
		select {
		case <-changed:
		case <-end.C:
			timeUp = true
		case <-r.Context().Done():
			return
		}
	}
}

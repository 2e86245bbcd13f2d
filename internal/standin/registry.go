package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a server as the registry lists it.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // ready, draining, gone
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix time; 0: the server is warm
}

// EntryOf returns the entry of a stand-in server, in the state ready. Its start time is given only if the server
// starts cold.
func EntryOf(s *Server) Entry {
	e := Entry{ID: s.Name, Addr: s.Addr, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: "ready", Weight: 1}
	if s.ColdFrom > 0 {
		e.Started = s.Started.UnixMilli()
	}
	return e
}

// Notification is one line of the registry's log: an entry that was written to a client of the registry, and when.
type Notification struct {
	ID, State string
	At        time.Time
}

// Registry is a stand-in for discovery. It answers with the whole list, or, to a watch, with the entries that
// changed.
type Registry struct {
	Addr string

	srv           *http.Server
	mu            sync.Mutex
	version       uint64
	entries       map[string]Entry
	changedIn     map[string]uint64 // list version of each entry's latest change
	changeSignal  chan struct{}     // closed at the next change
	notifications []Notification
}

const maxWatch = 60 * time.Second

// NewRegistry starts a registry that lists these servers, until Close.
func NewRegistry(entries ...Entry) (*Registry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Registry{Addr: l.Addr().String(), entries: map[string]Entry{}, changedIn: map[string]uint64{},
		changeSignal: make(chan struct{})}
	r.Set(entries...)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", r.serve)
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go r.srv.Serve(l)
	return r, nil
}

// Set adds or changes entries, as one new version of the list. An entry with the state "gone" leaves the whole
// list.
func (r *Registry) Set(entries ...Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	for _, e := range entries {
		r.entries[e.ID], r.changedIn[e.ID] = e, r.version
	}
	close(r.changeSignal)
	r.changeSignal = make(chan struct{})
}

// Notifications returns the log of entries written to clients, in the order of writing.
func (r *Registry) Notifications() []Notification {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Notification(nil), r.notifications...)
}

// Close stops the registry and ends every watch.
func (r *Registry) Close() { r.srv.Close() }

// serve answers a list request. With "since" it is a watch, which waits up to "timeout_ms" for a newer version.
func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	since, err := strconv.ParseUint(req.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	if wait, err := strconv.Atoi(req.URL.Query().Get("timeout_ms")); watch && err == nil {
		r.mu.Lock()
		changeSignal, newer := r.changeSignal, r.version > since
		r.mu.Unlock()
		if !newer {
			timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
			defer timer.Stop()
			select {
			case <-changeSignal:
			case <-timer.C:
			case <-req.Context().Done():
				return
			}
		}
	}
	type list struct {
		Version uint64  `json:"version"`
		Full    bool    `json:"full"`
		Servers []Entry `json:"servers"`
	}
	r.mu.Lock()
	answer := list{Version: r.version, Full: !watch, Servers: []Entry{}}
	for id, e := range r.entries {
		if !watch && e.State != "gone" || watch && r.changedIn[id] > since {
			answer.Servers = append(answer.Servers, e)
		}
	}
	r.mu.Unlock()
	raw, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// The entries count as notified from here on, before the answer is written.
	r.mu.Lock()
	now := time.Now()
	for _, e := range answer.Servers {
		r.notifications = append(r.notifications, Notification{e.ID, e.State, now})
	}
	r.mu.Unlock()
	w.Write(raw)
}

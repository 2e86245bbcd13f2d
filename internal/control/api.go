package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/accept"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/link"
)

const (
	maxAPIRequestBytes = 1 << 20
	apiTimeout         = 10 * time.Second // to read a request, and to answer it
)

// serveAPI serves the operators' API on a Unix socket that only the node's user can open.
func (n *Control) serveAPI() {
	l, err := listenAPI(n.config.Socket, n.config.Folder)
	if err != nil {
		n.log.Error("fleet: can't listen on the socket of the operators' API", "socket", n.config.Socket, "err", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /entry", func(w http.ResponseWriter, r *http.Request) {
		e := &fleetpb.Entry{}
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAPIRequestBytes))
		if err == nil {
			err = protojson.Unmarshal(raw, e)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
		defer cancel()
		result, err := n.Propose(ctx, e)
		writeReply(w, result, err)
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
		defer cancel()
		state, err := n.State(ctx)
		writeReply(w, state, err)
	})
	mux.HandleFunc("POST /configuration", n.handleQuery)
	mux.HandleFunc("GET /here", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(n.Status())
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: apiTimeout,
		WriteTimeout: 2 * apiTimeout, IdleTimeout: time.Minute}
	stop := context.AfterFunc(n.ctx, func() { srv.Close() })
	defer stop()
	srv.Serve(&accept.Listener{Listener: l})
}

// handleQuery serves a query about the configuration.
func (n *Control) handleQuery(w http.ResponseWriter, r *http.Request) {
	q := &configpb.Query{}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAPIRequestBytes))
	if err == nil {
		err = protojson.Unmarshal(raw, q)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
	defer cancel()
	answer, err := n.Query(ctx, q)
	writeReply(w, answer, err)
}

// listenAPI listens on a Unix socket at path. It creates the socket in folder, which only the node's user can enter,
// and moves it to path once its mode keeps other users out.
func listenAPI(path, folder string) (net.Listener, error) {
	privatePath := filepath.Join(folder, "door")
	os.Remove(privatePath)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: privatePath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	err = os.Chmod(privatePath, 0o600)
	if err == nil {
		err = os.Rename(privatePath, path)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// writeReply writes a message as JSON, or an error.
func writeReply(w http.ResponseWriter, m proto.Message, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	raw, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Write(raw)
}

// NodeStatus is this node's own view of the fleet's agreement. It is answered without any other node.
type NodeStatus struct {
	Node          string            `json:"node"`
	Session       uint64            `json:"session"`         // epoch of the node's session; 0: none
	OrdersVersion uint64            `json:"version"`         // of the orders that it follows
	Out           map[string]uint64 `json:"out"`             // drained targets, with the epochs of their drains
	Voter         string            `json:"voter,omitempty"` // leads, follows, waits, stopped; empty: it is no voter
	Term          uint64            `json:"term,omitempty"`
	Leader        string            `json:"leader,omitempty"`
	Reason        string            `json:"why,omitempty"`     // error of a voter that has stopped
	Applied       uint64            `json:"applied,omitempty"` // index of the last log entry that was applied
	Pid           int               `json:"pid"`
	CanServe      bool              `json:"able"`  // the node can serve requests, apart from being drained
	Ready         bool              `json:"ready"` // it is to get requests, which it may have to refuse while its agent is silent
	OpenRequests  int               `json:"open"`  // number of open requests
	// Succeeded is set once a successor process serves, so that this process may be ended.
	Succeeded bool `json:"succeeded"`
	// ConfigurationRevision is the revision of the configuration that is in force here; 0: none.
	ConfigurationRevision uint64 `json:"configuration,omitempty"`
	// RefusedRevision is the newest revision of the configuration that this node did not accept; 0: none.
	RefusedRevision uint64 `json:"refused,omitempty"`
	// Traffic counts what the node's connections to other nodes have carried.
	Traffic link.Traffic `json:"traffic"`
}

// Status returns the node's own view of the agreement.
func (n *Control) Status() NodeStatus {
	n.mu.Lock()
	status := NodeStatus{Node: n.config.Name, Session: n.epoch, OrdersVersion: n.orders.Version,
		Out: n.orders.Out, Succeeded: n.succeeded}
	voteErr, voter, calls := n.voteErr, n.voter, n.calls
	n.mu.Unlock()
	configured := n.configuration.Status()
	status.ConfigurationRevision, status.RefusedRevision = configured.Applied, configured.Refused
	if calls != nil {
		status.Traffic = calls.Traffic()
	}
	status.Pid, status.CanServe, status.Ready = os.Getpid(), n.loop.CanServe(), n.loop.Ready()
	status.OpenRequests, _ = n.loop.OpenRequests()
	if voteErr != nil {
		status.Voter, status.Reason = "stopped", voteErr.Error()
		return status
	}
	if voter == nil {
		return status
	}
	member := voter.currentMember()
	if member == nil {
		status.Voter = "waits"
		return status
	}
	if err := member.Err(); err != nil {
		status.Voter, status.Reason = "stopped", err.Error()
		return status
	}
	memberStatus := member.Status()
	status.Term, status.Voter, status.Applied = memberStatus.Term, "follows", memberStatus.Applied
	if memberStatus.IsLeader {
		status.Voter = "leads"
	}
	status.Leader = voter.voterName(memberStatus.Leader)
	return status
}

// APIClient is a client of a node's API for operators.
type APIClient struct{ client *http.Client }

// NewAPIClient returns a client of the API at a socket. It does not connect yet.
func NewAPIClient(socket string) *APIClient {
	return &APIClient{&http.Client{Timeout: apiTimeout + time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", socket)
		}}}}
}

// ErrAPIUnavailable means that the node did not answer, or could not reach the leader. A proposed entry may have been
// applied: it is safe to propose it again with the same request ID (Entry.Ask).
var ErrAPIUnavailable = errors.New("no answer from the agreement")

// call sends a request to the node and returns the body of a successful response.
func (d *APIClient) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://node"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAPIUnavailable, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrAPIUnavailable, err)
	case resp.StatusCode == http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%w: %s", ErrAPIUnavailable, bytes.TrimSpace(raw))
	case resp.StatusCode != http.StatusOK:
		return nil, errors.New(string(bytes.TrimSpace(raw)))
	}
	return raw, nil
}

// Propose proposes an entry and returns its result. After ErrAPIUnavailable it repeats the request until ctx ends, but
// only for an entry with a request ID (Entry.Ask), which is applied once at most.
func (d *APIClient) Propose(ctx context.Context, e *fleetpb.Entry) (*fleetpb.Result, error) {
	body, err := protojson.Marshal(e)
	if err != nil {
		return nil, err
	}
	for {
		raw, err := d.call(ctx, http.MethodPost, "/entry", body)
		if err == nil {
			r := &fleetpb.Result{}
			return r, protojson.Unmarshal(raw, r)
		}
		if !errors.Is(err, ErrAPIUnavailable) || e.Ask == "" {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryPause):
		}
	}
}

// Query sends a query about the configuration to the leader.
func (d *APIClient) Query(ctx context.Context, q *configpb.Query) (*configpb.Answer, error) {
	body, err := protojson.Marshal(q)
	if err != nil {
		return nil, err
	}
	raw, err := d.call(ctx, http.MethodPost, "/configuration", body)
	if err != nil {
		return nil, err
	}
	a := &configpb.Answer{}
	return a, protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(raw, a)
}

// State returns the fleet's state from the leader, without the configuration.
func (d *APIClient) State(ctx context.Context) (*fleetpb.State, error) {
	raw, err := d.call(ctx, http.MethodGet, "/state", nil)
	if err != nil {
		return nil, err
	}
	s := &fleetpb.State{}
	return s, protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(raw, s)
}

// Status returns the node's own view of the agreement.
func (d *APIClient) Status(ctx context.Context) (status NodeStatus, err error) {
	raw, err := d.call(ctx, http.MethodGet, "/here", nil)
	if err == nil {
		err = json.Unmarshal(raw, &status)
	}
	return status, err
}

package main

import (
	"fmt"
	"time"
)

const ms = int64(time.Millisecond)

// class is a class of a site, in the settings' form.
func class(name string, aim, deadline int64, worth float64, effect string, window int64) object {
	return object{"name": name, "aim_ns": aim * ms, "give_up_ns": deadline * ms, "importance": worth, "effect": effect,
		"key_scope": "cell", "dedup_window_ns": window * ms, "late_worth": 0.0, "streamed": false}
}

var halls = []string{"hall-nord", "hall-syd", "hall-vest"}

// kampklip returns the settings of one of the nodes of kampklip-aarhus, as the page of the wire shows them.
func kampklip(nodes, self int) object {
	return object{
		"accounts": []any{}, "balancers": nodes, "slot_no": self,
		"caps": object{"cancel": true, "conn_idle_ns": 60000 * ms, "connect_timeout_ns": 250 * ms, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 15000, "max_attempts": 4, "max_retry_after_ns": 2000 * ms, "may_duplicate": true, "most_held": 20000,
			"multiplex": 100, "peers": true, "probes": true, "retry_after": true},
		"classes": []any{
			class("broadcast-clip", 600, 1200, 12, "retryable", 5000), class("viewer-clip", 600, 2000, 1, "retryable", 5000),
			class("cut-order", 2000, 6000, 1, "fragile", 5000), class("tag-event", 1500, 4000, 1, "dedup", 8000)},
		"client_habits": object{"marks_retry": false}, "failure_domains": halls, "family": "proxy",
		"goal": object{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
		"invariants": object{"answer_slack_ns": 20 * ms, "ask_within_ns": 10000 * ms, "cold_from": 0.32, "cold_ns": 8300 * ms,
			"drain_grace_ns": 500 * ms, "overload_factor": 2.5, "tip_after_ns": 1000 * ms},
		"kinds": []string{"fast-6", "std-6", "slow-6"}, "membership_mode": "on_request", "over_share_worth": 0.05,
		"report": object{"fields": []string{"active", "waiting"}, "how": "probe"}, "specifics": object{"warm_keys": false},
		"tick_ns": 5 * ms, "tier": 0, "tiers": []string{"clip-web"}, "weight_kind": "nominal", "worth_by": "request",
		"zone": halls[self%len(halls)]}
}

// kampklipWork is the mean work of the classes of kampklip-aarhus, within the site file's ranges.
var kampklipWork = map[string]time.Duration{"broadcast-clip": 100 * time.Millisecond, "viewer-clip": 70 * time.Millisecond,
	"cut-order": 200 * time.Millisecond, "tag-event": 150 * time.Millisecond}

// newKampklip starts backends in cells of four, a discovery and the nodes of a deployment of kampklip-aarhus.
func (p *play) newKampklip(servers, nodes int) (backends []*backend, d *discovery, started []*node, err error) {
	groups := map[int]*group{}
	for i := range servers {
		cell := i / 4
		if groups[cell] == nil {
			groups[cell] = &group{window: 8 * time.Second, seen: map[string]time.Time{}}
		}
		b := &backend{id: fmt.Sprintf("s-%08x", 0x5be20000+i*7919), zone: halls[i%3], kind: []string{"fast-6", "std-6", "slow-6"}[i%3],
			cell: cell, group: groups[cell], work: kampklipWork}
		if err := p.newBackend(b, 6); err != nil {
			return nil, nil, nil, err
		}
		backends = append(backends, b)
	}
	if d, err = newDiscovery(backends, func(what string) { p.note("discovery told %s", what) }); err != nil {
		return nil, nil, nil, err
	}
	var peers []string
	for range nodes {
		peers = append(peers, freeAddr("udp"))
	}
	for i := range nodes {
		n, err := p.newNode(nodeOptions{name: fmt.Sprintf("n%d", i), discovery: d.addr, settings: kampklip(nodes, i), peers: peers,
			self: i, known: d.whole()})
		if err != nil {
			return nil, nil, nil, err
		}
		if err := n.start(); err != nil {
			return nil, nil, nil, err
		}
		started = append(started, n)
	}
	for _, n := range started {
		if err := n.awaitReady(30 * time.Second); err != nil {
			return nil, nil, nil, err
		}
	}
	return backends, d, started, nil
}

package decide

// Transfers: request bodies and answers whose transfer takes longer than the server's work. The time of a transfer is
// no latency of the server, and a server that waits for a body is not unresponsive. Transfers are no load either: n,
// from which the modes follow, counts only requests whose body the server has received whole and whose answer has not
// begun. The attempt stays outstanding until its end all the same, and its request open.

// load counts an attempt in its server's n.
func (m *Module) load(a *attemptRecord) {
	a.counted = true
	a.server.n++
}

// unload stops counting an attempt in its server's n.
func (m *Module) unload(a *attemptRecord) {
	if a.counted {
		a.counted = false
		a.server.n--
	}
}

// await records that a server has received a whole request, and that its answer is due.
func (m *Module) await(s *serverRecord) {
	if s.unanswered++; s.unanswered == 1 {
		s.unansweredSince = m.now
	}
}

// bodyEnded handles the end of an upload's body. All times of the request count from here: its server has the whole
// request, and its client waits for the answer from now on.
func (m *Module) bodyEnded(e BodyEnded) {
	r := m.requests[e.ID]
	if r == nil || !r.uploading || r.done || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	r.uploading, r.arrived, r.deadline = false, m.now, m.now+e.Patience
	a := &r.attempts[e.Attempt]
	a.sent = m.now
	m.await(a.server)
	m.load(a)
	m.placeInPool(a.server)
}

// streamStarted handles the beginning of a streamed answer. It ends the latency of the attempt: the rest is transfer.
func (m *Module) streamStarted(e StreamStarted) {
	r := m.requests[e.ID]
	if r == nil || r.started || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	r.started = true
	a := &r.attempts[e.Attempt]
	a.server.unanswered = 0
	m.learn(a.server, r.class, e.Elapsed, e.NodeTime)
	m.unload(a)
	m.placeInPool(a.server)
}

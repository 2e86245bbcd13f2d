package decide

// Transfers: bodies and answers that take longer to pass than the work takes. Their bytes are not delay, and a server that waits
// for them is neither slow nor mute. Nor is it crowded by them: n, which the modes go by, holds the requests that a server has whole and
// has not begun to answer. The attempt is out to its end all the same, and its request open.

// load counts an attempt among its server's requests, unload no more.
func (m *Module) load(a *attempt) {
	a.loads = true
	a.server.n++
}

func (m *Module) unload(a *attempt) {
	if a.loads {
		a.loads = false
		a.server.n--
	}
}

// await notes that a server has a request whole, and owes an answer.
func (m *Module) await(s *server) {
	if s.unanswered++; s.unanswered == 1 {
		s.muteSince = m.now
	}
}

// bodyEnded begins the time of an upload: its server has it whole, and its client counts from here.
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
	m.place(a.server)
}

// streamStarted ends the latency of an attempt: what follows is its transfer.
func (m *Module) streamStarted(e StreamStarted) {
	r := m.requests[e.ID]
	if r == nil || r.started || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	r.started = true
	a := &r.attempts[e.Attempt]
	a.server.unanswered = 0
	m.learn(a.server, r.class, e.Elapsed, e.Own)
	m.unload(a)
	m.place(a.server)
}

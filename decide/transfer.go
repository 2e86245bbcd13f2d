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
func (m *Module) bodyEnded(event BodyEnded) {
	request := m.requests[event.ID]
	if request == nil || !request.uploading || request.done ||
		event.Attempt < 0 || event.Attempt >= len(request.attempts) {
		return
	}
	request.uploading, request.arrived, request.deadline = false, m.now, m.now+event.Patience
	attempt := &request.attempts[event.Attempt]
	attempt.sent = m.now
	m.await(attempt.server)
	m.load(attempt)
	m.placeInPool(attempt.server)
}

// overtimeStarted handles an answer that is held beyond the deadline of its request. Nothing else is sent for the request
// after that deadline.
func (m *Module) overtimeStarted(event OvertimeStarted) {
	request := m.requests[event.ID]
	if request == nil || request.done || event.Attempt < 0 || event.Attempt >= len(request.attempts) ||
		request.attempts[event.Attempt].ended {
		return
	}
	request.overtimeEnd = m.now + event.Length
}

// streamStarted handles the beginning of a streamed answer. It ends the latency of the attempt: the rest is transfer.
func (m *Module) streamStarted(event StreamStarted) {
	request := m.requests[event.ID]
	if request == nil || request.started || event.Attempt < 0 || event.Attempt >= len(request.attempts) {
		return
	}
	request.started = true
	attempt := &request.attempts[event.Attempt]
	attempt.server.unanswered = 0
	m.learn(attempt.server, request.class, event.Elapsed, event.NodeTime)
	m.unload(attempt)
	m.placeInPool(attempt.server)
}

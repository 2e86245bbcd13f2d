package soak

import (
	"time"

	"starlingvalve/internal/standin"
)

// longAnswer is the size, in bytes, above which the first bytes of an answer are timed, and up to which its last ones are.
const longAnswer = 64 << 10

// LumpAnswer is what a client got of an answer that its server wrote in lumps.
type LumpAnswer struct {
	ID, Server     string // Server: by the answer's first line; empty: none
	Size           int    // in bytes, as the client demanded
	Sent, Deadline time.Time
	BegunAt        time.Time // when the head of the answer had come; zero: it has not
	EndedAt        time.Time
	Status         int   // 0: no answer
	Received       int   // bytes of the body
	Err            error // of reading the answer
}

// lumps checks that each answer begins in time, that no long one is cut off that its server still writes, that none up to
// longAnswer ends late, and that none is called whole that is not. A server that fails in that time, or a node that is
// killed, excuses it.
func (e *Evidence) lumps() standin.Verdict {
	v := standin.Verdict{Rule: "lumps: a long answer is not cut off, and a short one ends in time"}
	for _, a := range e.LumpAnswers {
		if e.nodeWasKilled(NodeOf(a.ID), a.Sent, a.EndedAt) || overlapsAny(e.KilledAtEnd[NodeOf(a.ID)], a.Sent, a.EndedAt) ||
			overlapsAny(e.ServerFaults[a.Server], a.Sent, a.EndedAt) {
			continue
		}
		v.Cases++
		latest := a.Deadline.Add(answerGrace + TimingTolerance)
		switch {
		case a.Status == 0 && a.EndedAt.After(latest):
			v.AddViolation("%s: no answer %v after its deadline: %v", a.ID, a.EndedAt.Sub(a.Deadline), a.Err)
		case a.BegunAt.After(latest):
			v.AddViolation("%s: begun %v after its deadline", a.ID, a.BegunAt.Sub(a.Deadline))
		case a.Status == 200 && a.Err != nil && a.Size > longAnswer:
			v.AddViolation("%s: cut off after %d of %d bytes, %v after it was sent at %s to %s: %v", a.ID, a.Received, a.Size,
				a.EndedAt.Sub(a.Sent), a.Sent.Format(clockFormat), a.Server, a.Err)
		case a.Status == 200 && a.Err == nil && a.Received != a.Size:
			v.AddViolation("%s: %d of %d bytes look whole", a.ID, a.Received, a.Size)
		case a.Size <= longAnswer && a.EndedAt.After(latest):
			v.AddViolation("%s: a short answer ended %v after its deadline", a.ID, a.EndedAt.Sub(a.Deadline))
		}
	}
	return v
}

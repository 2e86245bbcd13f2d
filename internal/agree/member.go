package agree

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// ErrStopped answers a voter that has ended.
var ErrStopped = errors.New("this voter has stopped")

// Member drives a Core by the clock, in one goroutine that owns it.
type Member struct {
	core *Core
	tick time.Duration
	send func(*raftpb.Message) // must not block
	news func()                // after something was applied, or the leader changed; called by the goroutine of Run
	work chan func()
	done chan struct{}

	mu     sync.Mutex
	status Status
	err    error // once it has ended
}

const mostWork = 4096 // words that wait for the goroutine; more are turned away

// NewMember makes a member; Run sets it going.
func NewMember(core *Core, tick time.Duration, send func(*raftpb.Message), news func()) *Member {
	return &Member{core: core, tick: tick, send: send, news: news, work: make(chan func(), mostWork), done: make(chan struct{}), status: core.Status()}
}

// Run goes on until ctx ends, or the disk fails.
func (m *Member) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.tick)
	defer ticker.Stop()
	defer close(m.done)
	end := func(err error) error {
		m.mu.Lock()
		m.err, m.status = err, Status{}
		m.mu.Unlock()
		m.core.Close()
		return err
	}
	var was Status
	for {
		select {
		case <-ctx.Done():
			return end(ErrStopped)
		case <-ticker.C:
			m.core.Tick()
		case f := <-m.work:
			f()
			for range len(m.work) { // all of one moment share a write to the disk
				(<-m.work)()
			}
		}
		messages, err := m.core.Work()
		for _, message := range messages {
			m.send(message)
		}
		if err != nil {
			return end(err)
		}
		if s := m.core.Status(); s.Applied != was.Applied || s.Leader != was.Leader || s.Term != was.Term || s.Leads != was.Leads || !slices.Equal(s.Voters, was.Voters) {
			was = s
			m.mu.Lock()
			m.status = s
			m.mu.Unlock()
			m.news()
		}
	}
}

// do has f run by the goroutine of Run, if there is room.
func (m *Member) do(f func()) bool {
	select {
	case <-m.done:
		return false
	default:
	}
	select {
	case m.work <- f:
		return true
	default:
		return false
	}
}

// Step takes a message of another voter; it is lost where there is no room.
func (m *Member) Step(message *raftpb.Message) { m.do(func() { m.core.Step(message) }) }

// Unreachable tells that messages to a voter do not get through.
func (m *Member) Unreachable(id uint64) { m.do(func() { m.core.Unreachable(id) }) }

// SnapshotSent tells how the sending of a snapshot ended.
func (m *Member) SnapshotSent(id uint64, ok bool) { m.do(func() { m.core.SnapshotSent(id, ok) }) }

// Transfer hands the leadership to another voter.
func (m *Member) Transfer(to uint64) { m.do(func() { m.core.Transfer(to) }) }

// Reconfigure has the log held by these voters.
func (m *Member) Reconfigure(voters []uint64) { m.do(func() { m.core.Reconfigure(voters) }) }

// Status tells where the voter stands; Err why it has ended, or nil.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

// Err tells why the voter has ended; nil: it has not.
func (m *Member) Err() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// wait hands f to the goroutine and waits for its word.
func wait[T any](ctx context.Context, m *Member, f func(answer func(T, error))) (t T, err error) {
	type answer struct {
		t   T
		err error
	}
	got := make(chan answer, 1)
	if !m.do(func() { f(func(t T, err error) { got <- answer{t, err} }) }) {
		return t, ErrNotLeader
	}
	select {
	case a := <-got:
		return a.t, a.err
	case <-m.done:
		select {
		case a := <-got:
			return a.t, a.err
		default:
			return t, ErrUnknown
		}
	case <-ctx.Done():
		return t, errors.Join(ErrUnknown, ctx.Err())
	}
}

// Propose appends an entry and gives the machine's result.
func (m *Member) Propose(ctx context.Context, entry []byte) (any, error) {
	return wait(ctx, m, func(answer func(any, error)) { m.core.Propose(entry, answer) })
}

// Lead waits until it is known that this voter led after the call, and has all that was agreed before.
func (m *Member) Lead(ctx context.Context) error {
	_, err := wait(ctx, m, func(answer func(struct{}, error)) { m.core.Read(func(err error) { answer(struct{}{}, err) }) })
	return err
}

// View gives what f finds, run by the goroutine that owns the machine.
func View[T any](ctx context.Context, m *Member, f func() (T, error)) (T, error) {
	return wait(ctx, m, func(answer func(T, error)) { answer(f()) })
}

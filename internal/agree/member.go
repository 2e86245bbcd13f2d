package agree

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// ErrStopped is the error of a member whose context ended.
var ErrStopped = errors.New("this voter has stopped")

// Member drives a Core by the clock, in the goroutine that calls Run. Its methods are safe for concurrent use.
type Member struct {
	core     *Core
	tick     time.Duration
	send     func(*raftpb.Message) // must not block
	onChange func()                // called by Run after entries were applied or the leader, term or voters changed
	calls    chan func()
	done     chan struct{}

	mu     sync.Mutex
	status Status
	err    error // why Run has returned
}

const maxQueuedCalls = 4096 // calls that wait for the goroutine of Run; more are rejected

// NewMember creates a member, which works once Run is called. send must not block; it is called for each message to
// another voter.
func NewMember(core *Core, tick time.Duration, send func(*raftpb.Message), onChange func()) *Member {
	return &Member{core: core, tick: tick, send: send, onChange: onChange, calls: make(chan func(), maxQueuedCalls), done: make(chan struct{}), status: core.Status()}
}

// Run drives the Core until ctx ends or Core.Process fails. It returns ErrStopped or the error of Core.Process.
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
	var previous Status
	for {
		select {
		case <-ctx.Done():
			return end(ErrStopped)
		case <-ticker.C:
			m.core.Tick()
		case f := <-m.calls:
			f()
			for range len(m.calls) { // all waiting calls share one write to the disk
				(<-m.calls)()
			}
		}
		messages, err := m.core.Process()
		for _, message := range messages {
			m.send(message)
		}
		if err != nil {
			return end(err)
		}
		if s := m.core.Status(); s.Applied != previous.Applied || s.Leader != previous.Leader || s.Term != previous.Term || s.IsLeader != previous.IsLeader || !slices.Equal(s.Voters, previous.Voters) {
			previous = s
			m.mu.Lock()
			m.status = s
			m.mu.Unlock()
			m.onChange()
		}
	}
}

// enqueue queues f for the goroutine of Run. It reports false if Run has returned or the queue is full.
func (m *Member) enqueue(f func()) bool {
	select {
	case <-m.done:
		return false
	default:
	}
	select {
	case m.calls <- f:
		return true
	default:
		return false
	}
}

// Step handles a message from another voter. It is dropped if the queue is full.
func (m *Member) Step(message *raftpb.Message) { m.enqueue(func() { m.core.Step(message) }) }

// Unreachable reports that a message to a voter could not be delivered.
func (m *Member) Unreachable(id uint64) { m.enqueue(func() { m.core.Unreachable(id) }) }

// SnapshotSent reports whether a snapshot was delivered to a voter.
func (m *Member) SnapshotSent(id uint64, ok bool) { m.enqueue(func() { m.core.SnapshotSent(id, ok) }) }

// Transfer hands the leadership to another voter.
func (m *Member) Transfer(to uint64) { m.enqueue(func() { m.core.Transfer(to) }) }

// Reconfigure changes the voters of the log, as Core.Reconfigure does.
func (m *Member) Reconfigure(voters []uint64) { m.enqueue(func() { m.core.Reconfigure(voters) }) }

// Status returns the state of the voter; the zero value once Run has returned.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

// Err returns the error that ended Run, or nil while Run has not returned.
func (m *Member) Err() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// call runs f in the goroutine of Run and waits until f's callback gets a result. It returns ErrNotLeader if f was
// not run, and ErrOutcomeUnknown if Run or ctx ended before the result.
func call[T any](ctx context.Context, m *Member, f func(answer func(T, error))) (t T, err error) {
	type answer struct {
		t   T
		err error
	}
	got := make(chan answer, 1)
	if !m.enqueue(func() { f(func(t T, err error) { got <- answer{t, err} }) }) {
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
			return t, ErrOutcomeUnknown
		}
	case <-ctx.Done():
		return t, errors.Join(ErrOutcomeUnknown, ctx.Err())
	}
}

// Propose appends an entry and returns the machine's result once it has been applied.
func (m *Member) Propose(ctx context.Context, entry []byte) (any, error) {
	return call(ctx, m, func(answer func(any, error)) { m.core.Propose(entry, answer) })
}

// ConfirmLeadership waits until a majority has confirmed that this voter was the leader after the call, and the
// machine has applied all entries that were committed before.
func (m *Member) ConfirmLeadership(ctx context.Context) error {
	_, err := call(ctx, m, func(answer func(struct{}, error)) { m.core.ReadIndex(func(err error) { answer(struct{}{}, err) }) })
	return err
}

// View runs f in the goroutine that owns the machine, which f may read, and returns f's result.
func View[T any](ctx context.Context, m *Member, f func() (T, error)) (T, error) {
	return call(ctx, m, func(answer func(T, error)) { answer(f()) })
}

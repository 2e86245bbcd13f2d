package watch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/cache"
	"starlingvalve/internal/configuration/configpb"
)

const (
	answerSlack = 500 * time.Millisecond // beyond the machine's hold, before a question counts as lost
	askPause    = 100 * time.Millisecond // after an answer that brought nothing though it came early
	cacheEvery  = 5 * time.Second        // between two writes of the cache
	saidEvery   = 30 * time.Second       // between two log lines about the same trouble
)

// ClientOptions are what a Client is made of.
type ClientOptions struct {
	Node     string
	Machines []string // control machines, by name; the same at all nodes
	// Session gives the epoch of the node's session; 0: none. nil: there never is one, and the node does not count.
	Session func() uint64
	// Call carries a question to a machine, and its answer back. It ends with ctx.
	Call func(ctx context.Context, machine string, request []byte) (answer []byte, err error)
	// Accept is asked about changes before they take effect, and refuses them with an error, as in
	// configuration.NewReplica. nil: every valid change is accepted.
	Accept func([]*configpb.Change) error
	// Applied is told of each revision that has taken effect, by NewClient and the goroutine of Run. It must not block.
	// It may be nil.
	Applied func(revision uint64)
	// Cache is the path of the node's cache on its disk; empty: there is none.
	Cache string
	Hold  time.Duration // of the machines; 0: that of DefaultLimits
	Log   *slog.Logger
}

// Client is a node's side: it follows the configuration from one control machine at a time, and goes on with what it
// has while none is heard. It knows nothing of a data plane: a hollow node uses it as it is.
type Client struct {
	o       ClientOptions
	chooser *chooser

	replicaLock sync.Mutex
	replica     *configuration.Replica // changed by the goroutine of Run alone

	// Of the goroutine of Run.
	assembly assembly
	refused  uint64
	refusal  *configpb.Refusal
	said     time.Time

	mu     sync.Mutex
	status Status

	behind chan struct{} // holds one where the cache is behind
}

// Status is where a node stands.
type Status struct {
	Log      string            // that the revision is of; empty: the node has none yet
	Applied  uint64            // revision in force here
	Refused  uint64            // newest revision that was refused; 0: none
	Refusal  *configpb.Refusal // why
	Machine  string            // that answered last; empty: none has
	Answered time.Time         // when it did
}

// NewClient makes a client that has what the cache holds. A cache that is refused is logged, and the client starts
// without it.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Machines) == 0 {
		return nil, errors.New("watch: no control machines")
	}
	if o.Hold == 0 {
		o.Hold = DefaultLimits().Hold
	}
	c := &Client{o: o, replica: configuration.NewReplica(o.Accept), behind: make(chan struct{}, 1)}
	c.chooser = newChooser(o.Node, o.Machines, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if o.Cache == "" {
		return c, nil
	}
	log, err := cache.Load(o.Cache, c.replica)
	if err != nil {
		o.Log.Warn("configuration: " + err.Error())
	}
	if log != "" {
		c.status.Log, c.status.Applied = log, c.replica.Revision()
		o.Log.Info("configuration: from the cache", "revision", c.status.Applied, "entries", c.replica.Len())
		c.tell(c.status.Applied)
	}
	return c, nil
}

// Applied is the revision in force here; 0: none yet.
func (c *Client) Applied() uint64 { return c.Status().Applied }

// Status tells where the node stands.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// Run follows until ctx ends. The cache is written then once more, if it is behind.
func (c *Client) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	if c.o.Cache != "" {
		work.Go(func() { c.keepCache(ctx) })
	}
	for ctx.Err() == nil {
		machine, wait := c.chooser.next(time.Now())
		if wait > 0 {
			pause(ctx, wait)
			continue
		}
		c.ask(ctx, machine)
	}
}

// poll puts one question to a machine and takes the answer.
func (c *Client) ask(ctx context.Context, machine string) {
	began := time.Now()
	answer, err := c.call(ctx, machine)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.chooser.failed(time.Now())
		c.say("configuration: a control machine does not answer; the node goes on with what it has",
			"machine", machine, "err", err)
		return
	}
	c.chooser.answered()
	c.mu.Lock()
	c.status.Machine, c.status.Answered = machine, time.Now()
	c.mu.Unlock()
	if !c.take(answer) && time.Since(began) < askPause {
		pause(ctx, askPause)
	}
}

func (c *Client) call(ctx context.Context, machine string) (*configpb.WatchAnswer, error) {
	q := &configpb.WatchRequest{
		Log:      c.Status().Log,
		Node:     c.o.Node,
		Applied:  c.replica.Revision(),
		Refused:  c.refused,
		Refusal:  c.refusal,
		Snapshot: c.assembly.revision,
		Offset:   uint64(len(c.assembly.data)),
		Checksum: c.assembly.checksum,
	}
	if c.o.Session != nil {
		q.Session = c.o.Session()
	}
	raw, err := configuration.Encode(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.Hold+answerSlack)
	defer cancel()
	if raw, err = c.o.Call(ctx, machine, raw); err != nil {
		return nil, err
	}
	answer := &configpb.WatchAnswer{}
	return answer, proto.Unmarshal(raw, answer)
}

// applyAnswer takes an answer, and tells whether it brought the node on.
func (c *Client) take(answer *configpb.WatchAnswer) bool {
	known := c.Status().Log
	if answer.Log == "" || known != "" && answer.Log != known {
		c.say("configuration: the control machines hold another log than the one that this node follows; it goes on "+
			"with what it has. Remove the cache once they are known to be right",
			"follows", known, "theirs", answer.Log)
		return false
	}
	switch news := answer.News.(type) {
	case *configpb.WatchAnswer_Delta:
		newest := news.Delta.GetAfter() + uint64(len(news.Delta.GetRevisions()))
		err := c.change(func() error { return c.replica.Apply(news.Delta) })
		return c.took(answer.Log, newest, err)
	case *configpb.WatchAnswer_Chunk:
		snapshot, err := c.assembly.add(news.Chunk)
		if err != nil {
			c.assembly = assembly{}
			c.say("configuration: a snapshot is begun again", "err", err)
			return false
		}
		if snapshot == nil {
			return true
		}
		if snapshot.Revision <= c.replica.Revision() { // never back
			return false
		}
		err = c.change(func() error { return c.replica.Restore(snapshot) })
		return c.took(answer.Log, snapshot.Revision, err)
	}
	return false
}

// changeReplica changes the replica.
func (c *Client) change(f func() error) error {
	c.replicaLock.Lock()
	defer c.replicaLock.Unlock()
	return f()
}

// recordResult notes what became of revisions up to the newest that came.
func (c *Client) took(log string, newest uint64, err error) bool {
	refused := (*configuration.RefusedError)(nil)
	isNew := false
	switch {
	case errors.As(err, &refused):
		isNew = c.refused != newest
		c.refused, c.refusal = newest, configuration.RefusalOf(refused)
		c.o.Log.Error("configuration: refused; the last good revision stays in force",
			"revision", refused.Revision, "stays", c.replica.Revision(), "why", refused.Cause)
	case err != nil:
		c.say("configuration: an answer makes no sense", "err", err)
	default:
		c.refused, c.refusal = 0, nil
	}
	applied := c.replica.Revision()
	c.mu.Lock()
	grown := applied > c.status.Applied
	c.status.Log, c.status.Applied = log, applied
	c.status.Refused, c.status.Refusal = c.refused, c.refusal
	c.mu.Unlock()
	if grown {
		c.tell(applied)
		c.cacheBehind()
	}
	return grown || isNew
}

// markCacheStale tells that the cache is to be written.
func (c *Client) cacheBehind() {
	select {
	case c.behind <- struct{}{}:
	default:
	}
}

// runCacheWriter writes the cache once it is behind, at most every cacheEvery, and a last time at the end.
func (c *Client) keepCache(ctx context.Context) {
	for {
		select {
		case <-c.behind:
			c.writeCache()
			if ctx.Err() != nil {
				return
			}
		case <-ctx.Done():
			select {
			case <-c.behind:
				c.writeCache()
			default:
			}
			return
		}
		pause(ctx, cacheEvery)
	}
}

func (c *Client) writeCache() {
	c.replicaLock.Lock()
	snapshot := c.replica.Snapshot()
	c.replicaLock.Unlock()
	if err := cache.Save(c.o.Cache, c.Status().Log, snapshot); err != nil {
		c.o.Log.Error("configuration: the cache is not written; it is tried again", "err", err)
		c.cacheBehind()
	}
}

func (c *Client) tell(revision uint64) {
	if c.o.Applied != nil {
		c.o.Applied(revision)
	}
}

// warn logs trouble that may last, now and then.
func (c *Client) say(what string, args ...any) {
	if now := time.Now(); c.said.IsZero() || now.Sub(c.said) >= saidEvery {
		c.said = now
		c.o.Log.Warn(what, args...)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

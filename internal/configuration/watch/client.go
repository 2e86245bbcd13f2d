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
	answerGrace   = 500 * time.Millisecond // beyond the machine's LongPollTimeout, before a request counts as failed
	requestPause  = 100 * time.Millisecond // after an answer without effect that came earlier than this
	cacheInterval = 5 * time.Second        // between writes of the cache
	logInterval   = 30 * time.Second       // between warnings about problems that may last
)

// ClientOptions are the options of a Client.
type ClientOptions struct {
	Node     string
	Machines []string // names of the control machines, the same at all nodes
	// Session returns the epoch of the node's session, or 0 if it has none. If Session is nil, the node never has a
	// session, and is left out of the machines' reports.
	Session func() uint64
	// Call sends a request to a machine and returns its answer. It has to return when ctx ends.
	Call func(ctx context.Context, machine string, request []byte) (answer []byte, err error)
	// Accept is called with changes before they take effect, and refuses them by returning an error, as for
	// configuration.NewReplica. If it is nil, every valid change is accepted.
	Accept func([]*configpb.Change) error
	// Applied is called, unless it is nil, after the revision in force has changed, by NewClient and by the goroutine
	// of Run. It must not block.
	Applied func(revision uint64)
	// Cache is the path of the node's cache file. If it is empty, there is none.
	Cache           string
	LongPollTimeout time.Duration // of the machines' Limits; 0: as in DefaultLimits
	Log             *slog.Logger
}

// Client follows the configuration for a node. It polls one control machine at a time, and keeps the revision that it
// has while none answers. It does not depend on a data plane, so a simulated node without one uses it, too.
type Client struct {
	options ClientOptions
	chooser *chooser

	replicaLock sync.Mutex
	replica     *configuration.Replica // changed only by the goroutine of Run, under the lock

	// The following are used only by the goroutine of Run.
	assembly assembly
	refused  uint64            // newest revision that was refused; 0: none
	refusal  *configpb.Refusal // reason for that
	warnedAt time.Time         // of the last warning

	mu     sync.Mutex
	status Status

	cacheStale chan struct{} // of length 1, with an element while the cache file is out of date
}

// Status is the state of a node's client.
type Status struct {
	Log      string            // name of the log that the revision is from; empty: the node has no revision yet
	Applied  uint64            // revision in force here
	Refused  uint64            // newest revision that was refused; 0: none
	Refusal  *configpb.Refusal // reason for that
	Machine  string            // machine that answered last; empty: none has
	Answered time.Time         // time of that answer
}

// NewClient returns a client with the content of the cache file. If the file is refused, the client logs that and
// starts without it.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Machines) == 0 {
		return nil, errors.New("watch: no control machines")
	}
	if o.LongPollTimeout == 0 {
		o.LongPollTimeout = DefaultLimits().LongPollTimeout
	}
	c := &Client{options: o, replica: configuration.NewReplica(o.Accept), cacheStale: make(chan struct{}, 1)}
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
		o.Log.Info("configuration: loaded from the cache", "revision", c.status.Applied, "entries", c.replica.Len())
		c.notifyApplied(c.status.Applied)
	}
	return c, nil
}

// Applied returns the revision in force at this node, or 0 if there is none yet.
func (c *Client) Applied() uint64 { return c.Status().Applied }

// Status returns the client's state.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// Run follows the configuration until ctx ends. Then it writes the cache file if that is out of date.
func (c *Client) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	if c.options.Cache != "" {
		work.Go(func() { c.runCacheWriter(ctx) })
	}
	for ctx.Err() == nil {
		machine, wait := c.chooser.next(time.Now())
		if wait > 0 {
			pause(ctx, wait)
			continue
		}
		c.poll(ctx, machine)
	}
}

// poll sends one request to a machine and applies the answer.
func (c *Client) poll(ctx context.Context, machine string) {
	startedAt := time.Now()
	answer, err := c.call(ctx, machine)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.chooser.failed(time.Now())
		c.warn("configuration: a control machine does not answer; the node keeps the revision that it has",
			"machine", machine, "err", err)
		return
	}
	c.chooser.answered()
	c.mu.Lock()
	c.status.Machine, c.status.Answered = machine, time.Now()
	c.mu.Unlock()
	if !c.applyAnswer(answer) && time.Since(startedAt) < requestPause {
		pause(ctx, requestPause)
	}
}

// call sends a request with the client's state to a machine and returns the answer.
func (c *Client) call(ctx context.Context, machine string) (*configpb.WatchAnswer, error) {
	request := &configpb.WatchRequest{
		Log:      c.Status().Log,
		Node:     c.options.Node,
		Applied:  c.replica.Revision(),
		Refused:  c.refused,
		Refusal:  c.refusal,
		Snapshot: c.assembly.revision,
		Offset:   uint64(len(c.assembly.data)),
		Checksum: c.assembly.checksum,
	}
	if c.options.Session != nil {
		request.Session = c.options.Session()
	}
	raw, err := configuration.Encode(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.LongPollTimeout+answerGrace)
	defer cancel()
	if raw, err = c.options.Call(ctx, machine, raw); err != nil {
		return nil, err
	}
	answer := &configpb.WatchAnswer{}
	return answer, proto.Unmarshal(raw, answer)
}

// applyAnswer applies an answer. It returns whether the answer had an effect, so that the next request may follow at
// once.
func (c *Client) applyAnswer(answer *configpb.WatchAnswer) bool {
	known := c.Status().Log
	if answer.Log == "" || known != "" && answer.Log != known {
		c.warn("configuration: the control machines have another log than the one that this node follows; it keeps "+
			"the revision that it has. If the control machines are right, remove the node's cache file",
			"follows", known, "theirs", answer.Log)
		return false
	}
	switch news := answer.News.(type) {
	case *configpb.WatchAnswer_Delta:
		newest := news.Delta.GetAfter() + uint64(len(news.Delta.GetRevisions()))
		err := c.changeReplica(func() error { return c.replica.Apply(news.Delta) })
		return c.recordResult(answer.Log, newest, err)
	case *configpb.WatchAnswer_Chunk:
		snapshot, err := c.assembly.add(news.Chunk)
		if err != nil {
			c.assembly = assembly{}
			c.warn("configuration: receiving a snapshot failed; starting again", "err", err)
			return false
		}
		if snapshot == nil {
			return true
		}
		if snapshot.Revision <= c.replica.Revision() { // the revision in force must not go back
			return false
		}
		err = c.changeReplica(func() error { return c.replica.Restore(snapshot) })
		return c.recordResult(answer.Log, snapshot.Revision, err)
	}
	return false
}

// changeReplica calls f, which changes the replica, under the replica's lock.
func (c *Client) changeReplica(f func() error) error {
	c.replicaLock.Lock()
	defer c.replicaLock.Unlock()
	return f()
}

// recordResult records the result err of applying revisions up to newest, of a log. It returns whether the revision in
// force has advanced, or a revision was refused that was not refused before.
func (c *Client) recordResult(log string, newest uint64, err error) bool {
	refused := (*configuration.RefusedError)(nil)
	newRefusal := false
	switch {
	case errors.As(err, &refused):
		newRefusal = c.refused != newest
		c.refused, c.refusal = newest, configuration.RefusalOf(refused)
		c.options.Log.Error("configuration: refused; the last good revision stays in force",
			"revision", refused.Revision, "stays", c.replica.Revision(), "why", refused.Cause)
	case err != nil:
		c.warn("configuration: an answer can't be applied", "err", err)
	default:
		c.refused, c.refusal = 0, nil
	}
	applied := c.replica.Revision()
	c.mu.Lock()
	advanced := applied > c.status.Applied
	c.status.Log, c.status.Applied = log, applied
	c.status.Refused, c.status.Refusal = c.refused, c.refusal
	c.mu.Unlock()
	if advanced {
		c.notifyApplied(applied)
		c.markCacheStale()
	}
	return advanced || newRefusal
}

// markCacheStale has the cache file written.
func (c *Client) markCacheStale() {
	select {
	case c.cacheStale <- struct{}{}:
	default:
	}
}

// runCacheWriter writes the cache file when it is out of date, at most once in cacheInterval, and a last time when ctx
// ends.
func (c *Client) runCacheWriter(ctx context.Context) {
	for {
		select {
		case <-c.cacheStale:
			c.writeCache()
			if ctx.Err() != nil {
				return
			}
		case <-ctx.Done():
			select {
			case <-c.cacheStale:
				c.writeCache()
			default:
			}
			return
		}
		pause(ctx, cacheInterval)
	}
}

// writeCache writes the cache file. After an error it is tried again.
func (c *Client) writeCache() {
	c.replicaLock.Lock()
	snapshot := c.replica.Snapshot()
	c.replicaLock.Unlock()
	if err := cache.Save(c.options.Cache, c.Status().Log, snapshot); err != nil {
		c.options.Log.Error("configuration: can't write the cache; trying again", "err", err)
		c.markCacheStale()
	}
}

// notifyApplied calls the Applied option, if there is one.
func (c *Client) notifyApplied(revision uint64) {
	if c.options.Applied != nil {
		c.options.Applied(revision)
	}
}

// warn logs a problem that may last. It drops a warning within logInterval after the last one, of any problem.
func (c *Client) warn(what string, args ...any) {
	if now := time.Now(); c.warnedAt.IsZero() || now.Sub(c.warnedAt) >= logInterval {
		c.warnedAt = now
		c.options.Log.Warn(what, args...)
	}
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

package http1

import "starlingvalve/internal/stats"

// Memory of heads. A head of many short fields takes many times its length once it has been parsed.

const (
	// Heads up to this size, in bytes and lines, are part of what each connection and each request has reserved.
	freeHeadBytes = 2 << 10
	freeHeadLines = 32
	// headByteSize and headLineSize are what a byte and a line of a head take, in bytes: as they are read, parsed, and
	// copied for the server.
	headByteSize = 3
	headLineSize = 200
)

// headSize is the memory that a head takes beyond that of a usual one, in bytes.
func headSize(headBytes, lines int) int64 {
	return int64(max(0, headBytes-freeHeadBytes)*headByteSize + max(0, lines-freeHeadLines)*headLineSize)
}

// holdHead reserves memory for the heads that the scan of a connection has seen. If there is too little, the connection
// whose head takes most is evicted, which a sound client's is not. It is called under the lock.
func (a *admission) holdHead(c *clientConn) {
	size := headSize(c.scan.headBytes, c.scan.headLines)
	if len(c.scan.ambiguous) > 0 || c.serving { // the head of a request that has not been answered
		size += headSize(c.scan.lastHeadBytes, c.scan.lastHeadLines)
	}
	grown := size > c.headMemory.Size()
	c.headMemory.Set(size)
	if !grown || c.headMemory.Fits() {
		return
	}
	if largest := a.largestHead(); largest != nil {
		a.count(stats.EvictedForHead)
		a.evict(largest)
	}
}

// largestHead returns the connection without an open request whose head takes most memory; nil: there is none.
func (a *admission) largestHead() (largest *clientConn) {
	for _, conn := range a.conns.WithoutRequest() {
		c := conn.Owner.(*clientConn)
		if size := c.headMemory.Size(); size > 0 && (largest == nil || size > largest.headMemory.Size()) {
			largest = c
		}
	}
	return largest
}

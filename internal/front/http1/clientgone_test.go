package http1

import "testing"

// BenchmarkClientGone measures the check of a client that is connected.
func BenchmarkClientGone(b *testing.B) {
	_, dial, accept := newTestAdmission(b, 3)
	dial()
	c := accept()
	b.ReportAllocs()
	for b.Loop() {
		if c.clientGone() {
			b.Fatal("a connected client counts as gone")
		}
	}
}

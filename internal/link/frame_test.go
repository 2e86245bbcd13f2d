package link

import (
	"bufio"
	"bytes"
	"errors"
	"testing"
)

// Guards against frames that are read differently from how they were written, and against truncated or malformed frames
// that are accepted.
func TestFrames(t *testing.T) {
	whole := appendFrame(nil, typeHandoff, []uint64{7, 1 << 40}, []byte("rest"))
	typ, f, rest, err := readFrame(bufio.NewReader(bytes.NewReader(whole)), requestLimit, 2, typeHandoff, typeAsk)
	if err != nil || typ != typeHandoff || f[0] != 7 || f[1] != 1<<40 || string(rest) != "rest" {
		t.Errorf("read back type %d, fields %v, rest %q, error %v", typ, f, rest, err)
	}
	for i := range whole {
		if _, _, _, err := readFrame(bufio.NewReader(bytes.NewReader(whole[:i])), requestLimit, 2, typeHandoff); err == nil {
			t.Errorf("a frame cut after %d bytes was accepted", i)
		}
	}
	for name, raw := range map[string][]byte{
		"out of order": appendFrame(nil, typeBeat, []uint64{1, 2}, nil),
		"too large":    appendFrame(nil, typeHandoff, []uint64{1, 2}, make([]byte, requestLimit)),
		"too short":    appendFrame(nil, typeAsk, []uint64{1}, nil),
		"too long":     appendFrame(nil, typeAsk, []uint64{1, 2, 3}, nil),
	} {
		if _, _, _, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), requestLimit, 2, typeHandoff, typeAsk); !errors.Is(err, errFrame) {
			t.Errorf("%s: got error %v, want errFrame", name, err)
		}
	}
}

// Guards against panics, payloads beyond the limit, and frames that change when they are written and read again.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, typeHandoff, []uint64{7, 8, 9}, []byte("GET / HTTP/1.1\r\n\r\n")), uint8(2))
	f.Add([]byte{0xff, 0xff, 0xff}, uint8(3))
	f.Fuzz(func(t *testing.T, raw []byte, fields uint8) {
		n := int(fields % 4)
		typ, values, rest, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), 1<<12, n, typeHandoff, typeAnswer, typeAsk, typeHello)
		if err != nil {
			return
		}
		if len(values) != n || len(rest) > 1<<12 {
			t.Fatalf("got %d fields, or %d bytes of rest: wrong number of fields, or a payload over the limit", len(values), len(rest))
		}
		again := appendFrame(nil, typ, values, rest)
		typ2, values2, rest2, err := readFrame(bufio.NewReader(bytes.NewReader(again)), 1<<12, n, typ)
		if err != nil && len(again) <= len(raw) || err == nil && (typ2 != typ || len(values2) != n || !bytes.Equal(rest, rest2)) {
			t.Errorf("%x was written again as %x and then read differently: %v", raw, again, err)
		}
	})
}

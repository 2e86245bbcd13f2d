// Package trace reads, writes and generates recorded traffic: which requests arrived at a node and how they ended,
// without the data of any client.
//
// A file starts with the eight bytes of fileMagic; blocks follow. A block is the length in bytes of its compressed
// data as a varint, the xxHash64 of that data in eight bytes, little endian, and the data, compressed with Zstandard.
// The data holds records; each is its length as a varint and a protobuf message (fields below). Blocks are
// independent: if one is damaged, the others can still be read.
package trace

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
)

// Outcome tells how a try ended for its client.
type Outcome uint64

const (
	// Unknown: not recorded.
	Unknown Outcome = iota
	// Served: status 200.
	Served
	// Refused: status 429 or 503.
	Refused
	// Failed: any other status.
	Failed
	// ClientGone: the client disconnected before the answer.
	ClientGone
)

var outcomes = [...]string{"unknown", "served", "refused", "failed", "gone"}

// String returns the outcome in lower case, or the number of an outcome that this version does not know.
func (o Outcome) String() string {
	if o < Outcome(len(outcomes)) {
		return outcomes[o]
	}
	return fmt.Sprint("outcome ", uint64(o))
}

// Record is one try of an order. An order is one thing that a client wants done; it takes further tries (requests) if
// the first ones are refused or fail. Durations are recorded in whole microseconds.
type Record struct {
	At         time.Duration `json:"at_ns"`       // arrival, since the start of the trace
	Class      string        `json:"class"`       // name of the request class
	Tenant     uint64        `json:"tenant"`      // keyed hash of the tenant; 0: none
	Order      uint64        `json:"order"`       // keyed hash of what the tries of an order share, such as a key
	BodySize   int           `json:"size"`        // bytes of the request body
	AnswerSize int           `json:"answer"`      // bytes of the response body
	Repeat     bool          `json:"repeat"`      // the client marks it as a further try
	Outcome    Outcome       `json:"outcome"`     // how it ended
	Duration   time.Duration `json:"took_ns"`     // from arrival to the final answer, at the node
	Work       time.Duration `json:"work_ns"`     // of the attempt that served it, with the network; 0: none did
	Patience   time.Duration `json:"patience_ns"` // how long the client waits for this try
}

const (
	fileMagic      = "SLVTRC\x00\x01"     // the last byte is the version
	blockSize      = 64 << 10             // bytes of records after which a block is written
	maxBlockSize   = 1 << 20              // bytes of a block's data, compressed or not; a larger block is damaged
	maxClassLength = 256                  // bytes of a class name
	maxDuration    = 24 * time.Hour       // of any duration in a record except At
	maxAt          = 366 * 24 * time.Hour // of At
)

// Protobuf field numbers of a record. Durations are in microseconds.
const (
	fieldAt = iota + 1
	fieldClass
	fieldTenant
	fieldOrder
	fieldSize
	fieldAnswer
	fieldRepeat
	fieldOutcome
	fieldTook
	fieldWork
	fieldPatience
)

// appendTo appends the record as a protobuf message. Fields that are zero are left out, except the class.
func (r *Record) appendTo(to []byte) []byte {
	varint := func(field protowire.Number, v uint64) {
		if v != 0 {
			to = protowire.AppendVarint(protowire.AppendTag(to, field, protowire.VarintType), v)
		}
	}
	fixed := func(field protowire.Number, v uint64) {
		if v != 0 {
			to = protowire.AppendFixed64(protowire.AppendTag(to, field, protowire.Fixed64Type), v)
		}
	}
	varint(fieldAt, uint64(r.At/time.Microsecond))
	to = protowire.AppendString(protowire.AppendTag(to, fieldClass, protowire.BytesType), r.Class)
	fixed(fieldTenant, r.Tenant)
	fixed(fieldOrder, r.Order)
	varint(fieldSize, uint64(r.BodySize))
	varint(fieldAnswer, uint64(r.AnswerSize))
	if r.Repeat {
		varint(fieldRepeat, 1)
	}
	varint(fieldOutcome, uint64(r.Outcome))
	varint(fieldTook, uint64(r.Duration/time.Microsecond))
	varint(fieldWork, uint64(r.Work/time.Microsecond))
	varint(fieldPatience, uint64(r.Patience/time.Microsecond))
	return to
}

var errMalformedRecord = errors.New("malformed record")

// parse sets the record from a protobuf message. A value out of range is an error.
func (r *Record) parse(raw []byte) error {
	duration := func(v uint64, most time.Duration) (time.Duration, error) {
		if v > uint64(most/time.Microsecond) {
			return 0, errMalformedRecord
		}
		return time.Duration(v) * time.Microsecond, nil
	}
	for len(raw) > 0 {
		field, kind, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return errMalformedRecord
		}
		raw = raw[n:]
		var v uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(raw)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(raw)
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(raw)
		default:
			n = protowire.ConsumeFieldValue(field, kind, raw)
		}
		if n < 0 {
			return errMalformedRecord
		}
		raw = raw[n:]
		var err error
		switch {
		case field == fieldAt && kind == protowire.VarintType:
			r.At, err = duration(v, maxAt)
		case field == fieldClass && kind == protowire.BytesType:
			if r.Class = string(text); len(text) > maxClassLength {
				err = errMalformedRecord
			}
		case field == fieldTenant && kind == protowire.Fixed64Type:
			r.Tenant = v
		case field == fieldOrder && kind == protowire.Fixed64Type:
			r.Order = v
		case field == fieldSize && kind == protowire.VarintType:
			r.BodySize = int(min(v, 1<<40))
		case field == fieldAnswer && kind == protowire.VarintType:
			r.AnswerSize = int(min(v, 1<<40))
		case field == fieldRepeat && kind == protowire.VarintType:
			r.Repeat = v != 0
		case field == fieldOutcome && kind == protowire.VarintType:
			r.Outcome = Outcome(v)
		case field == fieldTook && kind == protowire.VarintType:
			r.Duration, err = duration(v, maxDuration)
		case field == fieldWork && kind == protowire.VarintType:
			r.Work, err = duration(v, maxDuration)
		case field == fieldPatience && kind == protowire.VarintType:
			r.Patience, err = duration(v, maxDuration)
		} // unknown fields, which a later version may add, are ignored
		if err != nil {
			return err
		}
	}
	return nil
}

// Writer writes a trace. It is not safe for concurrent use.
type Writer struct {
	out            io.Writer
	encoder        *zstd.Encoder
	pending        []byte // records that wait to be written as a block
	encoded        []byte // the last record, kept to reuse its memory
	compressed     []byte // compressed data of the last block, kept to reuse its memory
	headerWritten  bool
	Records        int   // number of records in the blocks that have been written
	Bytes          int64 // number of bytes that have been written
	pendingRecords int   // number of records that wait to be written
}

// NewWriter returns a writer of a new trace.
func NewWriter(to io.Writer) (*Writer, error) {
	zip, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<17), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	return &Writer{out: to, encoder: zip}, nil
}

// Write adds a record. Records should come roughly in the order of At. When a block is full, it is written; an error
// means that this block is lost. The writer can still be used, and tries to write the next block.
func (w *Writer) Write(r *Record) error {
	w.encoded = r.appendTo(w.encoded[:0])
	w.pending = protowire.AppendBytes(w.pending, w.encoded)
	w.pendingRecords++
	if len(w.pending) < blockSize {
		return nil
	}
	return w.Flush()
}

// Flush writes the pending records as a block. The first Flush writes the start of the file, even without records.
func (w *Writer) Flush() error {
	if w.pendingRecords == 0 && w.headerWritten {
		return nil
	}
	var out []byte
	if !w.headerWritten {
		out = append(out, fileMagic...)
	}
	records := w.pendingRecords
	if records > 0 {
		w.compressed = w.encoder.EncodeAll(w.pending, w.compressed[:0])
		data := w.compressed
		out = binary.AppendUvarint(out, uint64(len(data)))
		out = binary.LittleEndian.AppendUint64(out, xxhash.Sum64(data))
		out = append(out, data...)
	}
	w.pending, w.pendingRecords = w.pending[:0], 0
	written, err := w.out.Write(out)
	w.Bytes += int64(written)
	if err != nil {
		return err
	}
	w.headerWritten = true
	w.Records += records
	return nil
}

// Damage is the error of a file of which some blocks could not be read.
type Damage struct {
	Blocks    int    // number of blocks that were skipped
	Offset    int64  // offset in bytes of the first of them
	Truncated bool   // the file ends within a block
	Reason    string // the reason for the first of them
}

// Error tells where the file is truncated, or how many blocks are damaged and where the first one begins.
func (d *Damage) Error() string {
	if d.Truncated {
		return fmt.Sprintf("cut within the block at byte %d", d.Offset)
	}
	return fmt.Sprintf("%d damaged blocks, the first at byte %d: %s", d.Blocks, d.Offset, d.Reason)
}

// Read calls each with every record of all undamaged blocks, in order, until it returns an error. Read returns that
// error, an error if the file is no trace or of another version, or, after all readable records, a *Damage if blocks
// were skipped.
func Read(from io.Reader, each func(*Record) error) error {
	reader := bufio.NewReader(from)
	var head [len(fileMagic)]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil || string(head[:len(fileMagic)-1]) != fileMagic[:len(fileMagic)-1] {
		return errors.New("this is no trace")
	}
	if head[len(fileMagic)-1] != fileMagic[len(fileMagic)-1] {
		return fmt.Errorf("the trace has version %d, but this program reads version %d", head[len(fileMagic)-1], fileMagic[len(fileMagic)-1])
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockSize))
	if err != nil {
		return err
	}
	defer decoder.Close()
	damage := (*Damage)(nil)
	addDamage := func(offset int64, what string) {
		if damage == nil {
			damage = &Damage{Offset: offset, Reason: what}
		}
		damage.Blocks++
	}
	offset := int64(len(fileMagic))
	for {
		size, err := binary.ReadUvarint(reader)
		if err == io.EOF {
			break
		}
		var sum [8]byte
		if err == nil {
			_, err = io.ReadFull(reader, sum[:])
		}
		if err != nil || size > maxBlockSize {
			// Without a valid length the start of the next block is unknown.
			if addDamage(offset, "its length is invalid or incomplete"); err != nil && damage.Blocks == 1 {
				damage.Truncated = true
			}
			break
		}
		data := make([]byte, size)
		if _, err := io.ReadFull(reader, data); err != nil {
			if addDamage(offset, "the file ends within it"); damage.Blocks == 1 {
				damage.Truncated = true
			}
			break
		}
		blockStart := offset
		offset += int64(len(binary.AppendUvarint(nil, size))) + 8 + int64(size)
		if binary.LittleEndian.Uint64(sum[:]) != xxhash.Sum64(data) {
			addDamage(blockStart, "its checksum is wrong")
			continue
		}
		raw, err := decoder.DecodeAll(data, nil)
		if err != nil {
			addDamage(blockStart, "its data can't be decompressed")
			continue
		}
		records, err := parseBlock(raw)
		if err != nil {
			addDamage(blockStart, err.Error())
			continue
		}
		for i := range records {
			if err := each(&records[i]); err != nil {
				return err
			}
		}
	}
	if damage != nil {
		return damage
	}
	return nil
}

// parseBlock returns the records in the decompressed data of a block.
func parseBlock(raw []byte) (records []Record, err error) {
	for len(raw) > 0 {
		one, n := protowire.ConsumeBytes(raw)
		if n < 0 {
			return nil, errMalformedRecord
		}
		raw = raw[n:]
		var r Record
		if err := r.parse(one); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// ReadAll returns the records of a trace in memory, and the error of Read.
func ReadAll(text []byte) (records []Record, err error) {
	err = Read(bytes.NewReader(text), func(r *Record) error { records = append(records, *r); return nil })
	return records, err
}

package rpc

import (
	"encoding/binary"
	"errors"
)

// valueKind is the type of a MessagePack value, whatever width it was sent in.
type valueKind uint8

const (
	kindOther valueKind = iota // nil, bool, float, extension
	kindInteger
	kindString
	kindBinary
	kindArray
	kindMap
)

// The first byte of a MessagePack value, by its specification. Of a range, the first is named.
const (
	headFixMap   = 0x80
	headFixArray = 0x90
	headFixStr   = 0xa0
	headNil      = 0xc0
	headFalse    = 0xc2
	headTrue     = 0xc3
	headBin8     = 0xc4
	headBin16    = 0xc5
	headBin32    = 0xc6
	headExt8     = 0xc7
	headExt32    = 0xc9
	headFloat32  = 0xca
	headFloat64  = 0xcb
	headUint8    = 0xcc
	headUint32   = 0xce
	headUint64   = 0xcf
	headInt8     = 0xd0
	headInt64    = 0xd3
	headFixExt1  = 0xd4
	headFixExt16 = 0xd8
	headStr8     = 0xd9
	headStr32    = 0xdb
	headArray16  = 0xdc
	headArray32  = 0xdd
	headMap16    = 0xde
	headMap32    = 0xdf
	headFixNeg   = 0xe0
)

// maxDepth is deeper than any message nests; it guards the stack.
const maxDepth = 16

// value is one MessagePack value; of an array or map only its head.
type value struct {
	kind   valueKind
	number int64  // of an integer
	length int    // of an array or map: how many elements or pairs follow
	data   []byte // of a string or binary
}

var (
	errShort = errors.New("cut short")
	errSize  = errors.New("a value over the bound")
	errDepth = errors.New("nested too deep")
	errByte  = errors.New("a byte that starts no value")
)

// decoder reads values one after another and keeps the first error.
type decoder struct {
	input  []byte
	offset int
	err    error
}

// take returns the next bytes.
func (d *decoder) take(length int) []byte {
	switch {
	case d.err != nil:
		return nil
	case length > MaxFrame:
		d.err = errSize
		return nil
	case length > len(d.input)-d.offset:
		d.err = errShort
		return nil
	}
	d.offset += length
	return d.input[d.offset-length : d.offset]
}

// uint reads a big-endian number of 1, 2, 4 or 8 bytes.
func (d *decoder) uint(width int) uint64 {
	var wide [8]byte
	copy(wide[8-width:], d.take(width))
	return binary.BigEndian.Uint64(wide[:])
}

// int reads a signed big-endian number of 1, 2, 4 or 8 bytes.
func (d *decoder) int(width int) int64 {
	unused := 64 - 8*width
	return int64(d.uint(width)<<unused) >> unused
}

// length reads a length; one over the bound is kept at it, for take to find.
func (d *decoder) length(width int) int { return int(min(d.uint(width), MaxFrame+1)) }

// read reads one value, of an array or map only its head.
func (d *decoder) read() value {
	first := d.take(1)
	if d.err != nil {
		return value{}
	}
	switch head := first[0]; {
	case head < headFixMap:
		return value{kind: kindInteger, number: int64(head)}
	case head < headFixArray:
		return value{kind: kindMap, length: int(head - headFixMap)}
	case head < headFixStr:
		return value{kind: kindArray, length: int(head - headFixArray)}
	case head < headNil:
		return value{kind: kindString, data: d.take(int(head - headFixStr))}
	case head >= headFixNeg:
		return value{kind: kindInteger, number: int64(int8(head))}
	default:
		return d.readWide(head)
	}
}

// readWide reads a value whose head isn't followed by a width that the head itself tells.
func (d *decoder) readWide(head byte) value {
	switch {
	case head == headNil, head == headFalse, head == headTrue:
		return value{}
	case head >= headBin8 && head <= headBin32:
		return value{kind: kindBinary, data: d.take(d.length(1 << (head - headBin8)))}
	case head >= headExt8 && head <= headExt32: // a type byte stands before the data
		d.take(1 + d.length(1<<(head-headExt8)))
		return value{}
	case head == headFloat32, head == headFloat64:
		d.take(4 << (head - headFloat32))
		return value{}
	case head >= headUint8 && head <= headUint64:
		return value{kind: kindInteger, number: int64(d.uint(1 << (head - headUint8)))}
	case head >= headInt8 && head <= headInt64:
		return value{kind: kindInteger, number: d.int(1 << (head - headInt8))}
	case head >= headFixExt1 && head <= headFixExt16:
		d.take(1 + 1<<(head-headFixExt1))
		return value{}
	case head >= headStr8 && head <= headStr32:
		return value{kind: kindString, data: d.take(d.length(1 << (head - headStr8)))}
	case head == headArray16, head == headArray32:
		return value{kind: kindArray, length: d.length(2 << (head - headArray16))}
	case head == headMap16, head == headMap32:
		return value{kind: kindMap, length: d.length(2 << (head - headMap16))}
	}
	d.err = errByte
	return value{}
}

// readWhole passes one whole value, with all that is in it, and returns its bytes.
func (d *decoder) readWhole() []byte {
	from := d.offset
	d.skip(0)
	if d.err != nil {
		return nil
	}
	return d.input[from:d.offset]
}

// skip passes one whole value that is nested so deep.
func (d *decoder) skip(depth int) {
	if depth > maxDepth && d.err == nil {
		d.err = errDepth
	}
	head := d.read()
	elements := head.length
	if head.kind == kindMap {
		elements *= 2
	}
	for i := 0; i < elements && d.err == nil; i++ {
		d.skip(depth + 1)
	}
}

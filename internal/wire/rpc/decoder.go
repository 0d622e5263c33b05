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

// The format bytes with which MessagePack values start, by its specification. Of a range, the first is named.
const (
	formatFixMap   = 0x80
	formatFixArray = 0x90
	formatFixStr   = 0xa0
	formatNil      = 0xc0
	formatFalse    = 0xc2
	formatTrue     = 0xc3
	formatBin8     = 0xc4
	formatBin16    = 0xc5
	formatBin32    = 0xc6
	formatExt8     = 0xc7
	formatExt32    = 0xc9
	formatFloat32  = 0xca
	formatFloat64  = 0xcb
	formatUint8    = 0xcc
	formatUint32   = 0xce
	formatUint64   = 0xcf
	formatInt8     = 0xd0
	formatInt64    = 0xd3
	formatFixExt1  = 0xd4
	formatFixExt16 = 0xd8
	formatStr8     = 0xd9
	formatStr32    = 0xdb
	formatArray16  = 0xdc
	formatArray32  = 0xdd
	formatMap16    = 0xde
	formatMap32    = 0xdf
	formatFixNeg   = 0xe0
)

// maxDepth is deeper than any message nests; it guards the stack.
const maxDepth = 16

// value is one MessagePack value; an array or map is without its elements.
type value struct {
	kind   valueKind
	number int64  // of an integer
	length int    // of an array or map: how many elements or pairs follow
	data   []byte // of a string or binary
}

// Causes of a value that can't be decoded. Only after errShort can more input help.
var (
	errShort = errors.New("cut short")
	errSize  = errors.New("a value over the bound")
	errDepth = errors.New("nested too deep")
	errByte  = errors.New("a byte that starts no value")
)

// decoder reads values one after another and keeps the first error.
type decoder struct {
	data   []byte
	offset int
	err    error
}

// take consumes the next bytes and returns them, or nil after an error.
func (d *decoder) take(length int) []byte {
	switch {
	case d.err != nil:
		return nil
	case length > MaxFrame:
		d.err = errSize
		return nil
	case length > len(d.data)-d.offset:
		d.err = errShort
		return nil
	}
	d.offset += length
	return d.data[d.offset-length : d.offset]
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

// length reads a big-endian length. One that is over MaxFrame is returned as MaxFrame+1, which take refuses.
func (d *decoder) length(width int) int { return int(min(d.uint(width), MaxFrame+1)) }

// read reads one value; of an array or map only its length, so that its elements come next.
func (d *decoder) read() value {
	first := d.take(1)
	if d.err != nil {
		return value{}
	}
	switch format := first[0]; {
	case format < formatFixMap:
		return value{kind: kindInteger, number: int64(format)}
	case format < formatFixArray:
		return value{kind: kindMap, length: int(format - formatFixMap)}
	case format < formatFixStr:
		return value{kind: kindArray, length: int(format - formatFixArray)}
	case format < formatNil:
		return value{kind: kindString, data: d.take(int(format - formatFixStr))}
	case format >= formatFixNeg:
		return value{kind: kindInteger, number: int64(int8(format))}
	default:
		return d.readWide(format)
	}
}

// readWide reads the rest of a value whose length or number follows its format byte, rather than being part of it.
func (d *decoder) readWide(format byte) value {
	switch {
	case format == formatNil, format == formatFalse, format == formatTrue:
		return value{}
	case format >= formatBin8 && format <= formatBin32:
		return value{kind: kindBinary, data: d.take(d.length(1 << (format - formatBin8)))}
	case format >= formatExt8 && format <= formatExt32: // a type byte stands before the data
		d.take(1 + d.length(1<<(format-formatExt8)))
		return value{}
	case format == formatFloat32, format == formatFloat64:
		d.take(4 << (format - formatFloat32))
		return value{}
	case format >= formatUint8 && format <= formatUint64:
		return value{kind: kindInteger, number: int64(d.uint(1 << (format - formatUint8)))}
	case format >= formatInt8 && format <= formatInt64:
		return value{kind: kindInteger, number: d.int(1 << (format - formatInt8))}
	case format >= formatFixExt1 && format <= formatFixExt16:
		d.take(1 + 1<<(format-formatFixExt1))
		return value{}
	case format >= formatStr8 && format <= formatStr32:
		return value{kind: kindString, data: d.take(d.length(1 << (format - formatStr8)))}
	case format == formatArray16, format == formatArray32:
		return value{kind: kindArray, length: d.length(2 << (format - formatArray16))}
	case format == formatMap16, format == formatMap32:
		return value{kind: kindMap, length: d.length(2 << (format - formatMap16))}
	}
	d.err = errByte
	return value{}
}

// readRaw skips one value with all that is nested in it, and returns its encoded bytes.
func (d *decoder) readRaw() []byte {
	start := d.offset
	d.skip(0)
	if d.err != nil {
		return nil
	}
	return d.data[start:d.offset]
}

// skip skips one value, which is nested depth levels deep, with all that is nested in it.
func (d *decoder) skip(depth int) {
	if depth > maxDepth && d.err == nil {
		d.err = errDepth
	}
	skipped := d.read()
	elements := skipped.length
	if skipped.kind == kindMap {
		elements *= 2
	}
	for i := 0; i < elements && d.err == nil; i++ {
		d.skip(depth + 1)
	}
}

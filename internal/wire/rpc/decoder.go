package rpc

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// valueKind is the type of a MessagePack value, without the width of its encoding.
type valueKind uint8

const (
	kindOther valueKind = iota // nil, bool, float, extension
	kindInteger
	kindString
	kindBinary
	kindArray
	kindMap
)

// The format bytes of MessagePack, with which a value starts. A constant for a range is its first
// byte.
const (
	formatFixMap      = 0x80
	formatFixArray    = 0x90
	formatFixStr      = 0xa0
	formatNil         = 0xc0
	formatFalse       = 0xc2
	formatTrue        = 0xc3
	formatBin8        = 0xc4
	formatBin16       = 0xc5
	formatBin32       = 0xc6
	formatExt8        = 0xc7
	formatExt32       = 0xc9
	formatFloat32     = 0xca
	formatFloat64     = 0xcb
	formatUint8       = 0xcc
	formatUint32      = 0xce
	formatUint64      = 0xcf
	formatInt8        = 0xd0
	formatInt64       = 0xd3
	formatFixExt1     = 0xd4
	formatFixExt16    = 0xd8
	formatStr8        = 0xd9
	formatStr16       = 0xda
	formatStr32       = 0xdb
	formatArray16     = 0xdc
	formatArray32     = 0xdd
	formatMap16       = 0xde
	formatMap32       = 0xdf
	formatFixNegative = 0xe0
)

// maxDepth limits the nesting of values, which bounds the recursion on malicious input. Valid
// messages nest less deeply.
const maxDepth = 16

// value is one MessagePack value. An array or map does not include its elements.
type value struct {
	kind   valueKind
	number int64  // value of an integer
	length int    // number of elements of an array or of pairs of a map
	data   []byte // content of a string or binary
}

// Causes of a value that can't be decoded. errTruncated is the only one that more input can
// resolve.
var (
	errTruncated     = errors.New("input ends inside a value")
	errValueTooLong  = fmt.Errorf("value of more than %d bytes", MaxFrame)
	errNestedTooDeep = fmt.Errorf("values nested more than %d levels deep", maxDepth)
	errInvalidFormat = errors.New("invalid format byte")
)

// decoder reads consecutive values and keeps the first error.
type decoder struct {
	data    []byte
	offset  int
	err     error
	missing int // after errTruncated: at least this many bytes follow the data
}

// take consumes and returns the next length bytes, or returns nil after an error.
func (d *decoder) take(length int) []byte {
	switch {
	case d.err != nil:
		return nil
	case length > MaxFrame:
		d.err = errValueTooLong
		return nil
	case length > len(d.data)-d.offset:
		d.err = errTruncated
		d.missing = length - (len(d.data) - d.offset)
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

// length reads a big-endian length. It returns MaxFrame+1 for lengths above MaxFrame, which take
// rejects.
func (d *decoder) length(width int) int { return int(min(d.uint(width), MaxFrame+1)) }

// read reads one value. For an array or map it reads only the length; the next reads return the
// elements.
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
	case format >= formatFixNegative:
		return value{kind: kindInteger, number: int64(int8(format))}
	default:
		return d.readWide(format)
	}
}

// readWide reads the rest of a value whose length or number follows the format byte.
func (d *decoder) readWide(format byte) value {
	switch {
	case format == formatNil, format == formatFalse, format == formatTrue:
		return value{}
	case format >= formatBin8 && format <= formatBin32:
		return value{kind: kindBinary, data: d.take(d.length(1 << (format - formatBin8)))}
	case format >= formatExt8 && format <= formatExt32: // the data follows a type byte
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
	d.err = fmt.Errorf("%w %#x", errInvalidFormat, format)
	return value{}
}

// readRaw skips one value and all values nested in it, and returns its encoded bytes.
func (d *decoder) readRaw() []byte {
	start := d.offset
	d.skip(0)
	if d.err != nil {
		return nil
	}
	return d.data[start:d.offset]
}

// skip skips one value at nesting level depth and all values nested in it.
func (d *decoder) skip(depth int) {
	if depth > maxDepth && d.err == nil {
		d.err = errNestedTooDeep
	}
	skipped := d.read()
	elements := skipped.length
	if skipped.kind == kindMap {
		elements *= 2
	}
	for i := 0; i < elements && d.err == nil; i++ {
		d.skip(depth + 1)
		if d.err != nil {
			d.missing += elements - i - 1 // each element is at least one byte
		}
	}
}

package rpc

import (
	"encoding/binary"
	"errors"
)

// sort is the type of a MessagePack value, whatever width it was sent in.
type sort uint8

const (
	other sort = iota // nil, bool, float, ext
	integer
	text
	bin
	array
	dict
)

type token struct {
	kind sort
	num  int64  // integer
	n    int    // array, dict: how many elements or pairs follow
	data []byte // text, bin
}

var (
	errShort = errors.New("cut short")
	errSize  = errors.New("a value over the bound")
	errDepth = errors.New("nested too deep")
	errByte  = errors.New("a byte that starts no value")
)

// cursor reads values one after another and keeps the first error.
type cursor struct {
	b   []byte
	at  int
	err error
}

func (c *cursor) take(n int) []byte {
	if c.err == nil && n > MaxFrame {
		c.err = errSize
	} else if c.err == nil && n > len(c.b)-c.at {
		c.err = errShort
	}
	if c.err != nil {
		return nil
	}
	c.at += n
	return c.b[c.at-n : c.at]
}

// uint reads a big-endian number of 1, 2, 4 or 8 bytes.
func (c *cursor) uint(width int) uint64 {
	var wide [8]byte
	copy(wide[8-width:], c.take(width))
	return binary.BigEndian.Uint64(wide[:])
}

// size reads a length; one over the bound is kept at it, for take to find.
func (c *cursor) size(width int) int { return int(min(c.uint(width), MaxFrame+1)) }

// read reads one value, of an array or dict only its head.
func (c *cursor) read() (t token) {
	head := c.take(1)
	if c.err != nil {
		return t
	}
	switch h := head[0]; {
	case h < 0x80:
		t.kind, t.num = integer, int64(h)
	case h < 0x90:
		t.kind, t.n = dict, int(h&0x0f)
	case h < 0xa0:
		t.kind, t.n = array, int(h&0x0f)
	case h < 0xc0:
		t.kind, t.data = text, c.take(int(h&0x1f))
	case h == 0xc0, h == 0xc2, h == 0xc3: // nil, false, true
	case h >= 0xc4 && h <= 0xc6:
		t.kind, t.data = bin, c.take(c.size(1<<(h-0xc4)))
	case h >= 0xc7 && h <= 0xc9: // ext: a type byte and so many bytes
		c.take(1 + c.size(1<<(h-0xc7)))
	case h == 0xca, h == 0xcb: // floats
		c.take(4 << (h - 0xca))
	case h >= 0xcc && h <= 0xcf:
		t.kind, t.num = integer, int64(c.uint(1<<(h-0xcc)))
	case h >= 0xd0 && h <= 0xd3:
		width := 1 << (h - 0xd0)
		unused := 64 - 8*width
		t.kind, t.num = integer, int64(c.uint(width)<<unused)>>unused
	case h >= 0xd4 && h <= 0xd8: // ext of a fixed size
		c.take(1 + 1<<(h-0xd4))
	case h >= 0xd9 && h <= 0xdb:
		t.kind, t.data = text, c.take(c.size(1<<(h-0xd9)))
	case h == 0xdc, h == 0xdd:
		t.kind, t.n = array, c.size(2<<(h-0xdc))
	case h == 0xde, h == 0xdf:
		t.kind, t.n = dict, c.size(2<<(h-0xde))
	case h >= 0xe0:
		t.kind, t.num = integer, int64(int8(h))
	default:
		c.err = errByte
	}
	return t
}

// value passes one whole value, with all that is in it, and returns its bytes.
func (c *cursor) value() []byte {
	from := c.at
	c.skip(0)
	if c.err != nil {
		return nil
	}
	return c.b[from:c.at]
}

func (c *cursor) skip(depth int) {
	if depth > 16 && c.err == nil { // deeper than any message here; guards the stack
		c.err = errDepth
	}
	t := c.read()
	if t.kind == dict {
		t.n *= 2
	}
	for i := 0; i < t.n && c.err == nil; i++ {
		c.skip(depth + 1)
	}
}

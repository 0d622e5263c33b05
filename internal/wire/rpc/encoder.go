package rpc

import "encoding/binary"

// maxString is the longest string that is written; what is over is cut off.
const maxString = 255

// appendNumber appends an integer.
func appendNumber(b []byte, number uint64) []byte {
	if number < 1<<7 {
		return append(b, byte(number))
	}
	if number < 1<<32 {
		return binary.BigEndian.AppendUint32(append(b, formatUint32), uint32(number))
	}
	return binary.BigEndian.AppendUint64(append(b, formatUint64), number)
}

// appendString appends a string of at most maxString bytes.
func appendString(b []byte, text string) []byte {
	if len(text) < formatNil-formatFixStr {
		b = append(b, formatFixStr|byte(len(text)))
		return append(b, text...)
	}
	text = text[:min(len(text), maxString)]
	b = append(b, formatStr8, byte(len(text)))
	return append(b, text...)
}

// appendBinary appends bytes.
func appendBinary(b, data []byte) []byte {
	switch length := len(data); {
	case length < 1<<8:
		b = append(b, formatBin8, byte(length))
	case length < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, formatBin16), uint16(length))
	default:
		b = binary.BigEndian.AppendUint32(append(b, formatBin32), uint32(length))
	}
	return append(b, data...)
}

// fieldEncoder appends a map of at most 15 strings to strings.
type fieldEncoder struct {
	buffer []byte
	head   int // where the map's head is
}

// newFieldEncoder starts an empty map at the end of b.
func newFieldEncoder(b []byte) fieldEncoder {
	return fieldEncoder{buffer: append(b, formatFixMap), head: len(b)}
}

// add appends one field.
func (e *fieldEncoder) add(name, text string) {
	e.buffer = appendString(e.buffer, name)
	e.buffer = appendString(e.buffer, text)
	e.buffer[e.head]++
}

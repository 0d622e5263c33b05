package rpc

import "encoding/binary"

// maxEncodedString is the largest length of an encoded string in bytes, which no parsed message
// exceeds. Longer strings are truncated.
const maxEncodedString = MaxFrame

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

// appendString appends a string, truncated to maxEncodedString bytes.
func appendString(b []byte, text string) []byte {
	if len(text) < formatNil-formatFixStr { // the length fits into the format byte
		b = append(b, formatFixStr|byte(len(text)))
		return append(b, text...)
	}
	text = text[:min(len(text), maxEncodedString)]
	if len(text) < 1<<8 {
		b = append(b, formatStr8, byte(len(text)))
	} else {
		b = binary.BigEndian.AppendUint16(append(b, formatStr16), uint16(len(text)))
	}
	return append(b, text...)
}

// appendBinary appends a binary value.
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

// fieldEncoder appends a map from strings to strings with at most 15 entries.
type fieldEncoder struct {
	buffer []byte
	head   int // index in buffer of the map's format byte, which holds the number of entries
}

// newFieldEncoder appends an empty map to b.
func newFieldEncoder(b []byte) fieldEncoder {
	return fieldEncoder{buffer: append(b, formatFixMap), head: len(b)}
}

// add appends one field.
func (e *fieldEncoder) add(name, text string) {
	e.buffer = appendString(e.buffer, name)
	e.buffer = appendString(e.buffer, text)
	e.buffer[e.head]++
}

// Package wire holds what the codecs in its subfolders share: the error for malformed input, and
// units.
//
// Each subfolder is the codec of one protocol: it turns bytes into typed messages and typed
// messages into bytes, and does no I/O, reads no clock and decides nothing. The names on the wire
// are known to the codec only; the package doc of each maps them to the Go names. A codec's parse
// functions return the length of the message that they read, or 0 if the input holds only a part of
// it.
package wire

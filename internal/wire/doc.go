// Package wire has the error type and the units that the codecs in its subfolders share.
//
// Each subfolder is the codec of one protocol. It decodes bytes into typed messages and encodes
// typed messages into bytes; it does no I/O, reads no clock and makes no decisions. Only the codec
// uses the names on the wire, and its package documentation maps them to the Go names. The parse
// functions of a codec return the length of the message that they read, or 0 if the input holds
// only a part of a message.
package wire

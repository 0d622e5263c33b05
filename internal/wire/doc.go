// Package wire holds what the codecs in its subfolders share: the error for input that isn't the protocol.
//
// Each subfolder is the codec of one protocol: it turns bytes into typed messages and typed messages into
// bytes, and does no I/O, reads no clock and decides nothing. The words on the wire stand in the codec only;
// the package doc of each maps them to the Go names. A codec's parse functions return the length of the
// message that they read, or 0 while it isn't whole.
package wire

// Package catalogue is the codec of the link between a server and the proxy through which its calls
// reach the downstream service: lines of text, some of which end with the length of a body that
// follows.
//
// It is stateless. Bodies are slices of the input, valid until the caller reuses the buffer. The
// server's side is in call.go and reply.go; the proxy's side, which the fake proxy uses, is in
// proxy.go.
//
// The names on the wire and the Go names:
//
//	FETCH  Call               QUIT     Call.Cancelled
//	DATA   Finished           LATER    Rejected             NOUSE  Rejected
//	FAULT  Failed             TOOSLOW  TimedOut
package catalogue

// Package catalogue is the codec of the link between a server and the proxy through which its calls reach
// the tier below: text lines, some of which tell the length of a body that follows.
//
// It is stateless; bodies are views of the input, good until the caller reuses the buffer. The server's side
// is in call.go and reply.go; the proxy's side, which the fake proxy uses, is in proxy.go.
//
// The names on the wire and the Go names:
//
//	FETCH  Call               QUIT     Call.Cancelled
//	DATA   Finished           LATER    Rejected             NOUSE  Rejected
//	FAULT  Failed             TOOSLOW  TimedOut
package catalogue

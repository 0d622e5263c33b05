// Package catalogue is the codec of the link between a server and the proxy through which its calls reach
// the tier below: lines, and bodies of a told length.
//
// It is stateless; bodies are views of the input, good until the caller reuses the buffer. The server's side
// is in call.go and reply.go; the proxy's side, which the fake proxy uses, is in proxy.go.
//
// The words on the wire and their Go names:
//
//	FETCH  a call             QUIT     a cancelled call
//	DATA   Finished           LATER    Rejected             NOUSE  Rejected
//	FAULT  Failed             TOOSLOW  TimedOut
package catalogue

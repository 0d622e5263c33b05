// Package rpc is the codec of the MessagePack-RPC link between load balancers, which are its clients, and
// servers: it parses requests out of bytes and appends responses to bytes.
//
// It is stateless. What it returns of a message's bytes are views of the input, good until the caller reuses
// the buffer. The server's side is in request.go and response.go; the client's side, which the forwarder,
// the test bench and the fake balancer use, is in client.go and client_response.go.
//
// The names on the wire and the Go names:
//
//	isWell    KindHealthCheck                forget    KindCancel
//	goaway    ResponseGoAway                 call      Message.ID
//	recv      Message.ArrivedAt, ms          src       Message.Client
//	ttl       Message.Timeout, ms            heap      Message.Memory
//	crit      Message.Priority               org       Message.Tenant
//	row       Message.Subject                dedupe    Message.Key
//	rep       Message.Retry                  work      Message.ExpectedWork, ms
//	load      ResponseMetadata.LoadReport    pushback  ResponseMetadata.RetryAfter, ms
//	stop      ResponseMetadata.NoFailover
//	Busy      ResponseRejected               Failed    ResponseFailed
//	Invalid   ResponseFailed: it can't be taken as a request
package rpc

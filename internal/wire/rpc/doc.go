// Package rpc is the codec of the MessagePack-RPC link between load balancers, which are its
// clients, and servers: it parses requests and appends responses to a byte slice.
//
// It is stateless. Bodies and results that it returns are slices of the input, valid until the
// caller reuses the buffer. The server's side is in request.go and response.go; the client's side,
// which the forwarder, the test bench and the fake balancer use, is in client.go and
// client_response.go.
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
//	Invalid   ResponseFailed, for a message that is not a valid request
package rpc

// Package rpc is the codec of the MessagePack-RPC link between load balancers, which are its clients, and
// servers: it parses requests out of bytes and appends responses to bytes.
//
// It is stateless. What it returns of a message's bytes are views of the input, good until the caller reuses
// the buffer. The server's side is in request.go and response.go; the client's side, which the forwarder,
// the test bench and the fake balancer use, is in client.go and answer.go.
//
// The words on the wire and their Go names:
//
//	isWell   a health check         forget    a cancelled request       goaway   no new request is wanted
//	call     Message.ID             recv      Message.Came, ms          src      Message.Caller
//	ttl      Message.Wait, ms       heap      Message.Memory            crit     Message.Rank
//	org      Message.Tenant         row       Message.Subject           dedupe   Message.Key
//	rep      Message.Again          work      Message.Hint, ms
//	load     Say.Free               pushback  Say.Advice, ms            stop     Say.Last
//	Busy     rejected, never ran    Failed    ran and failed            Invalid  can't be taken as a request
package rpc

// Package roster is the codec of the link between a server and the registry of servers: reports whether the
// server accepts requests, as HTTP/1.1 calls.
//
// It is stateless. The server's side is in report.go and response.go; the registry's side, which the fake
// registry uses, is in registry.go.
//
// The names on the wire and the Go names: PUT /roster/NAME is a report of server NAME; its duty is on
// where the server accepts requests, else off.
package roster

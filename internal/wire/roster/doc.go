// Package roster is the codec of the link between a server and the registry of servers. The server
// reports in HTTP/1.1 requests whether it accepts requests.
//
// It is stateless. The server's side is in report.go and response.go; the registry's side, which
// the fake registry uses, is in registry.go.
//
// On the wire, PUT /roster/NAME is a report of server NAME. Its duty is "on" if the server accepts
// requests and "off" otherwise.
package roster

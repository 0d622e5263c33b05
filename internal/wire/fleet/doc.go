// Package fleet is the codec of the messages between processes of one fleet: protocol buffers
// with a bound on every size. It is stateless and does no I/O.
//
// An Envelope is one decoded message, Encode and Decode convert it, and body.go lists which types
// of body there are. The types generated from fleet.proto are not used outside this package: the
// rest of the program has the types of internal/policy, which fleet.proto follows in its message
// and field names. Messages whose Go type is named differently:
//
//	fleet.proto                         Go
//	Packet                              Envelope
//	CommandResultBody                   CommandResult
//	StateRequestBody, StateReplyBody    StateRequest, StateReply
//	Account                             audit.Account; in an Envelope: AccountSummary
//	CounterRow                          counter.RowReport; release.CounterRow
//	CounterAck                          counter.RowAck
//	CounterSyncRequest                  counter.RowQuery
//	CounterSyncReply                    counter.RowQueryReply
//	ForwarderReport, PlanAssignment     loadplan.Report, loadplan.Assignment
//	PlanVersion                         loadplan.Version
//	HealthReport                        circuitbreaker.Report
//	Record                              replication.RecordCopy
//
// The encoded form has field numbers but no names: names can change between releases, field numbers
// and types can't.
package fleet

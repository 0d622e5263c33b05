// Package fleet is the codec of the messages between processes of one fleet: protocol buffers
// with a bound on every size. It is pure: it keeps no state, and does no I/O.
//
// An Envelope is one decoded message, Encode and Decode convert it, and body.go lists which types of
// body there are. The generated types are not used outside this package: the rest of the program
// has the types of internal/policy. The names in fleet.proto are part of the protocol, and can't be
// changed. Where they differ from the program's:
//
//	protocol                     Go
//	life; founding               incarnation; cluster ID
//	voting, beacon, foundation   consensus message, heartbeat, bootstrap
//	seats; sits                  voters; terms or aggregators
//	order, mark, outed           release log, history entry, ejection
//	question, answer             lease request, lease reply
//	want, version                version request, version
//	do, done                     command, command result
//	brief, accounts, told        account summary, state request, state reply
//	claiming, claimed            claim request, claim reply
//	pulling, slice, sums         pull request, pull reply, checksums
//	sitting, try, verb           term, attempt, operation
//	standing, copies             server status, replication status
//	vouchers, ask_callers        trust records, trust request
//	wishing, wish, granting      quota request, demand, quota reply
//	healths                      health reports
//	row, row_heard               counter report, counter acknowledgement
//	ask_rows, rows               counter sync request, counter sync reply
//	plan_report, plan_part       forwarder report, plan assignment
package fleet

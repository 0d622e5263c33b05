// Package fleet is the codec of the messages between processes of one fleet: protocol buffers
// with a bound on every size. It is pure: it keeps no state, and does no I/O.
//
// The generated types have the protocol's names, which stay as they are; they end here, and the
// rest of the program has those of internal/policy. An Envelope is one message. Where the names
// differ:
//
//	protocol                     Go
//	life; founding               incarnation; cluster ID
//	voting, beacon, foundation   consensus message, heartbeat, bootstrap
//	order, mark, outed           release log, entry, ejection
//	question, answer             lease request, lease reply
//	want, version                version request, version
//	do, done                     command, command result
//	brief, accounts, told        account summary, state request, state reply
//	claiming, claimed            claim request, claim reply
//	pulling, slice, sums         pull request, pull reply, checksums
//	sitting, try                 term, attempt
//	vouchers, ask_callers        trust records, trust request
//	wishing, granting            quota request, quota reply
//	row, row_heard               counter report, counter acknowledgement
//	ask_rows, rows               counter sync request, counter sync reply
//	plan_report, plan_part       forwarder report, plan assignment
package fleet

// Package processor is the codec of the link between a server and its executor: JSON objects, one
// per line.
//
// A server appends commands (command.go) and parses notices (notice.go). The executor's side, which
// the fake executor uses, is in executor.go. Only a NoticeParser has state: the buffers of the
// notice that it parsed last.
//
// The names on the wire and the Go names:
//
//	hello     CommandResume         begin     CommandStart         answer    CommandReply
//	without   CommandSkipCall       usage     CommandReadGauges
//	hi        NoticeHello           complete  NoticeRunEnded       ask       NoticeAwaitingCall
//	used      NoticeGauges          reject    NoticeRejected       remark    NoticeRemark
//	fresh     Notice.Cold is true   seasoned  Notice.Cold is false
//	done      admission.Finished    crashed   admission.Failed     aborted   admission.Cancelled
//	stale     admission.NeverStarted
//	call      ID                    service   Class                serial    Serial
//	cookie    Tag                   blob      Body, base64         duration  Duration, ms
//	how       Detail                stats     Gauges
package processor

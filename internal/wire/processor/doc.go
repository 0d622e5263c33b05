// Package processor is the codec of the link between a server and its executor: JSON objects, one a line.
//
// A server appends commands (command.go) and reads notices (notice.go); the executor's side, which the fake
// executor uses, is in executor.go. Only a Reader has state: the buffers of the notice that it read last.
//
// The words on the wire and their Go names:
//
//	hello     Resume     begin    Begin     answer  Answer     without   Without    usage   Gauge
//	hi        Up         complete Ended     ask     Parked     used      Measured   reject  Rejection
//	fresh     Cold       seasoned not Cold  done    Finished   crashed   Failed     aborted Cancelled
//	stale     NeverStarted
//	call      ID         service  Stage     serial  Number     cookie    Tag        blob    Body, base64
//	duration  Took, ms   how      Word      stats   Gauges
package processor

package processor

// This file has the commands that a server sends to its executor.

// AppendResume appends the first line of a link: the serial number of the last notice that the
// server read.
func AppendResume(b []byte, serial int64) []byte {
	return appendSerial(appendHead(b, messageHello, "serial"), serial)
}

// AppendStart appends the command to run a request.
func AppendStart(b []byte, id, class string, body []byte) []byte {
	b = appendText(appendHead(b, messageBegin, "call"), id)
	b = appendText(appendKey(b, "service"), class)
	return appendBlob(b, body)
}

// AppendReply appends the reply to the call for which a run waits.
func AppendReply(b []byte, id string, reply []byte) []byte {
	b = appendText(appendHead(b, messageAnswer, "call"), id)
	return appendBlob(b, reply)
}

// AppendSkipCall appends the command to continue a run without the call for which it waits. serial
// is the serial number of the notice that asked for the call.
func AppendSkipCall(b []byte, id string, serial int64) []byte {
	b = appendText(appendHead(b, messageWithout, "call"), id)
	return appendSerial(appendKey(b, "serial"), serial)
}

// AppendReadGauges appends the request for the gauges. The notice that answers it has the same tag.
func AppendReadGauges(b []byte, tag string) []byte {
	b = appendText(appendHead(b, messageUsage, "cookie"), tag)
	return append(b, lineEnd...)
}

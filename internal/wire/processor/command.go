package processor

// This file is the server's commands to its executor.

// AppendResume appends the first line on a link: the serial number of the last notice that was read.
func AppendResume(b []byte, serial int64) []byte {
	return appendSerial(appendHead(b, messageHello, "serial"), serial)
}

// AppendStart appends the command to run a request of a class.
func AppendStart(b []byte, id, class string, body []byte) []byte {
	b = appendText(appendHead(b, messageBegin, "call"), id)
	b = appendText(appendKey(b, "service"), class)
	return appendBlob(b, body)
}

// AppendReply appends the reply to the call that a run waits for.
func AppendReply(b []byte, id string, reply []byte) []byte {
	b = appendText(appendHead(b, messageAnswer, "call"), id)
	return appendBlob(b, reply)
}

// AppendSkipCall appends the command to go on without the call that the notice numbered serial asked for.
func AppendSkipCall(b []byte, id string, serial int64) []byte {
	b = appendText(appendHead(b, messageWithout, "call"), id)
	return appendSerial(appendKey(b, "serial"), serial)
}

// AppendReadGauges appends the question for the gauges; the answer bears the same tag.
func AppendReadGauges(b []byte, tag string) []byte {
	b = appendText(appendHead(b, messageUsage, "cookie"), tag)
	return append(b, lineEnd...)
}

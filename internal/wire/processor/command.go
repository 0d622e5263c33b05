package processor

// This file is the server's commands to its executor.

// PutResume appends the first line on a link: the serial number of the last notice that was read.
func PutResume(b []byte, serial int64) []byte {
	return appendSerial(appendHead(b, messageHello, "serial"), serial)
}

// PutStart appends the command to run a request of a class.
func PutStart(b []byte, id, class string, body []byte) []byte {
	b = appendText(appendHead(b, messageBegin, "call"), id)
	b = appendText(appendKey(b, "service"), class)
	return appendBlob(b, body)
}

// PutReply appends the reply to the call that a run waits for.
func PutReply(b []byte, id string, reply []byte) []byte {
	b = appendText(appendHead(b, messageAnswer, "call"), id)
	return appendBlob(b, reply)
}

// PutSkip appends the command to go on without the call that the notice numbered serial asked for.
func PutSkip(b []byte, id string, serial int64) []byte {
	b = appendText(appendHead(b, messageWithout, "call"), id)
	return appendSerial(appendKey(b, "serial"), serial)
}

// PutAskGauges appends the question for the gauges; the answer bears the same tag.
func PutAskGauges(b []byte, tag string) []byte {
	b = appendText(appendHead(b, messageUsage, "cookie"), tag)
	return append(b, lineEnd...)
}

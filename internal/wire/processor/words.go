package processor

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"swiftcourse/admission"
)

// The values of key msg in a command.
const (
	messageHello   = "hello"
	messageBegin   = "begin"
	messageAnswer  = "answer"
	messageWithout = "without"
	messageUsage   = "usage"
)

// The values of key msg in a notice.
const (
	messageHi       = "hi"
	messageComplete = "complete"
	messageAsk      = "ask"
	messageUsed     = "used"
	messageReject   = "reject"
	messageRemark   = "remark"
)

// The values of key how in the notice that answers hello.
const (
	stateFresh    = "fresh"
	stateSeasoned = "seasoned"
)

// The values of key how in the notice that a run ended.
const (
	endDone    = "done"
	endCrashed = "crashed"
	endAborted = "aborted"
	endStale   = "stale"
)

// outcomes are the outcomes of a run by their words.
var outcomes = map[string]admission.Outcome{
	endDone:    admission.Finished,
	endCrashed: admission.Failed,
	endAborted: admission.Cancelled,
	endStale:   admission.NeverStarted,
}

// millisecondsPerSecond converts between the wire's milliseconds and seconds.
const millisecondsPerSecond = 1000

// lineEnd ends a message that doesn't end in a blob.
const lineEnd = "}\n"

// wordOf returns the word for a value, or otherwise where there is none.
func wordOf[V comparable](words map[string]V, value V, otherwise string) string {
	for word, meant := range words {
		if meant == value {
			return word
		}
	}
	return otherwise
}

// appendHead appends the start of a message up to the value of its first key after msg.
func appendHead(b []byte, message, key string) []byte {
	b = append(append(b, `{"msg":"`...), message...)
	return appendKey(append(b, '"'), key)
}

// appendKey appends what stands between the value before and the value of key.
func appendKey(b []byte, key string) []byte {
	b = append(append(b, `,"`...), key...)
	return append(b, `":`...)
}

// appendText appends a quoted string.
func appendText(b []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // a string always marshals
	return append(b, quoted...)
}

// appendSerial appends the value of key serial and ends the message.
func appendSerial(b []byte, serial int64) []byte {
	return append(strconv.AppendInt(b, serial, 10), lineEnd...)
}

// appendBlob appends the key blob and ends the message.
func appendBlob(b, blob []byte) []byte {
	b = append(appendKey(b, "blob"), '"')
	b = base64.StdEncoding.AppendEncode(b, blob)
	return append(b, "\"}\n"...)
}

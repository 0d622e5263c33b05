package processor

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
)

// lineEnd ends a message that does not end with a blob.
const lineEnd = "}\n"

// appendHead appends the start of a message: the key msg with its value, and the next key without
// its value.
func appendHead(b []byte, message, key string) []byte {
	b = append(append(b, `{"msg":"`...), message...)
	return appendKey(append(b, '"'), key)
}

// appendKey appends the separator from the previous value, the key and the colon.
func appendKey(b []byte, key string) []byte {
	b = append(append(b, `,"`...), key...)
	return append(b, `":`...)
}

// appendText appends a quoted string.
func appendText(b []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // a string always marshals
	return append(b, quoted...)
}

// appendSerial appends a serial number as the last value and ends the message.
func appendSerial(b []byte, serial int64) []byte {
	return append(strconv.AppendInt(b, serial, 10), lineEnd...)
}

// appendBlob appends the key blob and its value, and ends the message.
func appendBlob(b, blob []byte) []byte {
	b = append(appendKey(b, "blob"), '"')
	b = base64.StdEncoding.AppendEncode(b, blob)
	return append(b, "\"}\n"...)
}

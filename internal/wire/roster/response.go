package roster

import (
	"bytes"
	"fmt"
	"strconv"
)

// Response is the registry's response to one report.
type Response struct {
	Status int
	Close  bool // the registry closes the connection after this response
}

// ParseResponse parses the response at the start of data and returns its length, or 0 if data holds
// only a part of it. An error matches wire.ErrMalformed and means that the rest of data can't be
// parsed either.
func ParseResponse(data []byte) (response Response, length int, err error) {
	end := bytes.Index(data, []byte(headEnd))
	if end < 0 {
		if len(data) > maxPartLength {
			return Response{}, 0, malformed(errUnterminatedHead)
		}
		return Response{}, 0, nil
	}
	head, err := parseHead(data[:end])
	if err != nil {
		return Response{}, 0, malformed(err)
	}
	length = end + len(headEnd) + head.bodyLength
	if len(data) < length {
		return Response{}, 0, nil
	}
	return head.response, length, nil
}

// responseHead is the parsed head of a response.
type responseHead struct {
	response   Response
	bodyLength int
}

// parseHead parses the status line and the headers.
func parseHead(text []byte) (head responseHead, err error) {
	lines := bytes.Split(text, []byte(lineEnd))
	head.response, err = parseStatusLine(lines[0])
	if err != nil {
		return responseHead{}, err
	}
	for _, line := range lines[1:] {
		if err := head.parseHeader(line); err != nil {
			return responseHead{}, err
		}
	}
	return head, nil
}

// parseStatusLine parses the protocol version and the status. Connections of HTTP/1.0 are closed
// after a response.
func parseStatusLine(line []byte) (response Response, err error) {
	words := bytes.Fields(line)
	if len(words) < 2 || !bytes.HasPrefix(words[0], []byte("HTTP/1.")) {
		return Response{}, fmt.Errorf("%w: %.40q", errStatusLine, line)
	}
	response.Status, err = strconv.Atoi(string(words[1]))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %.20q", errStatus, words[1])
	}
	response.Close = string(words[0]) == "HTTP/1.0"
	return response, nil
}

// parseHeader parses one header. It ignores headers that affect neither the response nor the length
// of its body.
func (h *responseHead) parseHeader(line []byte) (err error) {
	key, value, _ := bytes.Cut(line, []byte(":"))
	text := string(bytes.ToLower(bytes.TrimSpace(value)))
	switch string(bytes.ToLower(key)) {
	case "content-length":
		h.bodyLength, err = strconv.Atoi(text)
		if err != nil || h.bodyLength < 0 || h.bodyLength > maxPartLength {
			return fmt.Errorf("%w: %.20q", errBodyLength, text)
		}
	case "transfer-encoding":
		return fmt.Errorf("%w: %.20q", errTransferEncoding, text)
	case "connection":
		h.response.Close = h.response.Close || text == "close"
	}
	return nil
}

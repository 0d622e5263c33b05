package roster

import (
	"bytes"
	"strconv"
)

// Response is the registry's response to one report.
type Response struct {
	Status int
	Close  bool // the connection takes no further report
}

// ParseResponse reads the response at the start of data and returns its length, which is 0 while it isn't whole.
// An error matches wire.ErrMalformed and means that nothing of data can be parsed.
func ParseResponse(data []byte) (response Response, length int, err error) {
	end := bytes.Index(data, []byte(headEnd))
	if end < 0 {
		if len(data) > maxHead {
			return Response{}, 0, malformed(errUnterminatedHead)
		}
		return Response{}, 0, nil
	}
	lines := bytes.Split(data[:end], []byte(lineEnd))
	response, err = parseStatusLine(lines[0])
	if err != nil {
		return Response{}, 0, malformed(err)
	}
	bodyLength := 0
	for _, line := range lines[1:] {
		if err := response.parseHeader(line, &bodyLength); err != nil {
			return Response{}, 0, malformed(err)
		}
	}
	length = end + len(headEnd) + bodyLength
	if len(data) < length {
		return Response{}, 0, nil
	}
	return response, length, nil
}

// parseStatusLine reads the protocol version and the status.
func parseStatusLine(line []byte) (response Response, err error) {
	words := bytes.Fields(line)
	if len(words) < 2 || !bytes.HasPrefix(words[0], []byte("HTTP/1.")) {
		return Response{}, errStatusLine
	}
	response.Status, err = strconv.Atoi(string(words[1]))
	if err != nil {
		return Response{}, errStatus
	}
	response.Close = string(words[0]) == "HTTP/1.0"
	return response, nil
}

// parseHeader reads one header; of those that count it sets the response or the length of the body.
func (r *Response) parseHeader(line []byte, bodyLength *int) (err error) {
	key, value, _ := bytes.Cut(line, []byte(":"))
	text := string(bytes.ToLower(bytes.TrimSpace(value)))
	switch string(bytes.ToLower(key)) {
	case "content-length":
		*bodyLength, err = strconv.Atoi(text)
		if err != nil || *bodyLength < 0 || *bodyLength > maxHead {
			return errBodyLength
		}
	case "transfer-encoding":
		return errChunked
	case "connection":
		r.Close = r.Close || text == "close"
	}
	return nil
}

package roster

import (
	"fmt"
	"net/url"
)

// AppendReport appends the report to the registry at host whether the server called name accepts requests.
func AppendReport(b []byte, host, name string, accepts bool) []byte {
	duty := dutyOff
	if accepts {
		duty = dutyOn
	}
	body := fmt.Sprintf(`{"duty":%q}`, duty)
	return fmt.Appendf(b, "PUT %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", pathPrefix, url.PathEscape(name), host, len(body), body)
}

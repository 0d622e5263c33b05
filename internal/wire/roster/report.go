package roster

import (
	"fmt"
	"net/url"
)

// AppendReport appends the report to the registry at host that the named server accepts requests
// or, if accepts is false, does not.
func AppendReport(b []byte, host, name string, accepts bool) []byte {
	duty := dutyOff
	if accepts {
		duty = dutyOn
	}
	body := fmt.Sprintf(`{"duty":%q}`, duty)
	return fmt.Appendf(b, "PUT %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", pathPrefix, url.PathEscape(name), host, len(body), body)
}

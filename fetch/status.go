package fetch

import "net/http"

// maxStatus is the highest status of a response.
const maxStatus = 599

// IsFinalStatus reports whether a status is that of a final response; net/http returns responses with any other one, too.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

package openai

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"magnoliaspoke.example/spoke"
)

// maxKeyLength bounds idempotency keys, in bytes, because many claims share one stored value.
const maxKeyLength = 255

var (
	// notForwarded lists the request headers that apply only to the caller's connection
	// or hold its credentials, and those that the handler evaluates or sets itself.
	notForwarded = []string{
		"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Idempotency-Key", "X-Attempt-Id", "X-Spoke-Rank", "X-Spoke-Deadline-Ms",
	}

	// notReturned lists the response headers that apply only to the connection to the
	// service or that only this system may set.
	notReturned = map[string]bool{
		"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Trailer": true, "Transfer-Encoding": true,
		"Upgrade": true, "Content-Length": true, "X-Request-Id": true, "X-Not-Run": true,
	}
)

// service forwards a call to a plain service.
func (x *exchange) service() error {
	service, err := x.plainService()
	if err != nil {
		return err
	}
	rank, err := x.rank(service)
	if err != nil {
		return err
	}
	target, err := x.servicePath()
	if err != nil {
		return err
	}
	key := x.r.Header.Get("Idempotency-Key")
	if len(key) > maxKeyLength {
		return badField("Idempotency-Key", "the key has %d bytes, the limit is %d", len(key), maxKeyLength)
	}
	body, err := x.readBody()
	if err != nil {
		return err
	}
	header := x.r.Header.Clone()
	for _, name := range notForwarded {
		header.Del(name)
	}
	if err := x.refuseLate(); err != nil {
		return err
	}
	x.isPassedOn = true
	response, err := x.backend.Call(x.r.Context(), spoke.ServiceCall{
		ID:        x.id,
		Workspace: x.workspace.ID,
		Service:   service.Name,
		Rank:      rank,
		Method:    x.r.Method,
		Path:      target,
		Header:    header,
		Body:      body,
		Key:       spoke.IdempotencyKey(key),
		Deadline:  x.deadline,
		Received:  x.received,
	})
	if err != nil {
		return err
	}
	x.writePlainAnswer(response)
	return nil
}

func (x *exchange) plainService() (spoke.Service, error) {
	if x.r.Method != http.MethodGet && x.r.Method != http.MethodPost {
		return spoke.Service{}, badField("method", "services take GET and POST, not %s", x.r.Method)
	}
	name := spoke.ServiceName(x.r.PathValue("service"))
	service, ok := x.manifest.Service(name)
	if !ok || service.Kind != spoke.ServicePlain {
		return service, spoke.RefuseNotRun(spoke.CodeNotFound, "unknown plain service %q", name)
	}
	if !x.allowed(name) {
		return service, spoke.RefuseNotRun(spoke.CodeForbidden, "workspace %s may not use service %s", x.workspace.ID, name)
	}
	return service, nil
}

// servicePath returns the path and query after the service name. The path must be
// clean and is re-encoded from its decoded form, so that an alternative encoding of
// a non-repeatable call cannot bypass the pattern that marks it as such.
func (x *exchange) servicePath() (string, error) {
	target := "/" + x.r.PathValue("path")
	if clean := path.Clean(target); clean != target && clean+"/" != target {
		return "", badField("path", "the path %q is not in its shortest form", target)
	}
	if strings.ContainsAny(target, "\x00\\") {
		return "", badField("path", "the path %q contains a forbidden character", target)
	}
	encoded := (&url.URL{Path: target}).EscapedPath()
	if x.r.URL.RawQuery != "" {
		encoded += "?" + x.r.URL.RawQuery
	}
	return encoded, nil
}

func (x *exchange) writePlainAnswer(response spoke.PlainAnswer) {
	header := x.w.Header()
	for name, values := range response.Header {
		if !notReturned[http.CanonicalHeaderKey(name)] {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	x.writeResponse(response.Status, "", response.Body)
}

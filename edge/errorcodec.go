package edge

// errorLine is the body of this host's own errors.
type errorLine struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

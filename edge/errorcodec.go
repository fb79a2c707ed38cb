package edge

// errorBody is the body of an error that this host itself answers.
type errorBody struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

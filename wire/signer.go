package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	headerSignature = "X-Spoke-Signature"
	headerSent      = "X-Spoke-Sent"
	headerClock     = "X-Spoke-Clock"

	// maxSkew bounds the time for which a recorded message can be replayed.
	maxSkew = 5 * time.Minute
)

var (
	// ErrSignature marks a message that is not signed with the peer secret or was not sent within maxSkew.
	ErrSignature = eris.New("signature does not match")
)

type (
	// Signer authenticates messages between entry hosts by a shared secret.
	Signer struct{ secret []byte }
)

// NewSigner returns a signer that uses a secret.
func NewSigner(secret string) Signer {
	return Signer{secret: []byte(secret)}
}

func (s Signer) sign(req *http.Request, body []byte, now time.Time) {
	sent := strconv.FormatInt(now.UnixMilli(), 10)
	req.Header.Set(headerSent, sent)
	req.Header.Set(headerSignature, s.signature(req, sent, body))
}

func (s Signer) verify(req *http.Request, body []byte, now time.Time) error {
	sent := req.Header.Get(headerSent)
	millis, err := strconv.ParseInt(sent, 10, 64)
	if err != nil {
		return eris.Wrapf(ErrSignature, "header %s %q", headerSent, sent)
	}
	if now.Sub(time.UnixMilli(millis)).Abs() > maxSkew {
		return eris.Wrapf(ErrSignature, "message sent at %s is more than %s off", sent, maxSkew)
	}
	want := s.signature(req, sent, body)
	if !hmac.Equal([]byte(want), []byte(req.Header.Get(headerSignature))) {
		return eris.Wrapf(ErrSignature, "%s %s", req.Method, req.URL.Path)
	}
	return nil
}

func (s Signer) signature(req *http.Request, sent string, body []byte) string {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(req.Method + " " + req.URL.RequestURI() + "\n" + sent + "\n"))
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Refusal is an error response of the system. RetryAfter is 0 if it names no time to retry.
// ValidTokens is nil if it names no number of valid tokens.
type Refusal struct {
	Status      int
	Code        string
	Message     string
	Field       string
	Ran         string
	RetryAfter  time.Duration
	ValidTokens *int
}

// Error returns the code, the message and whether the request ran.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s (ran: %s)", r.Code, r.Message, r.Ran) }

// refusalBody is the JSON body of an error response.
type refusalBody struct {
	Error struct {
		Code        string  `json:"code"`
		Message     string  `json:"message"`
		Field       string  `json:"field"`
		Ran         string  `json:"ran"`
		RetryAfter  float64 `json:"retry_after_s"`
		ValidTokens *int    `json:"valid_tokens"`
	} `json:"error"`
}

func readRefusal(resp *http.Response) error {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errLost
	}
	return parseRefusal(raw, resp.StatusCode, resp.Header)
}

// parseRefusal returns the refusal in an error body, or one with the code "unreadable".
func parseRefusal(raw []byte, status int, _ http.Header) error {
	var b refusalBody
	if err := json.Unmarshal(raw, &b); err != nil || b.Error.Code == "" {
		return &Refusal{Status: status, Code: "unreadable", Message: string(raw), Ran: "unknown"}
	}
	return &Refusal{
		Status: status, Code: b.Error.Code, Message: b.Error.Message, Field: b.Error.Field, Ran: b.Error.Ran,
		RetryAfter: time.Duration(b.Error.RetryAfter * float64(time.Second)), ValidTokens: b.Error.ValidTokens,
	}
}

package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Refusal is an error that the system answered with.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	Field      string
	Ran        string
	RetryAfter time.Duration
	Valid      *int
}

// Error returns the text.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s (ran: %s)", r.Code, r.Message, r.Ran) }

// refusalBody is the system's error body.
type refusalBody struct {
	Error struct {
		Code       string  `json:"code"`
		Message    string  `json:"message"`
		Field      string  `json:"field"`
		Ran        string  `json:"ran"`
		RetryAfter float64 `json:"retry_after_s"`
		Valid      *int    `json:"valid_tokens"`
	} `json:"error"`
}

func readRefusal(resp *http.Response) error {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errLost
	}
	return parseRefusal(raw, resp.StatusCode, resp.Header)
}

func parseRefusal(raw []byte, status int, _ http.Header) error {
	var b refusalBody
	if err := json.Unmarshal(raw, &b); err != nil || b.Error.Code == "" {
		return &Refusal{Status: status, Code: "unreadable", Message: string(raw), Ran: "unknown"}
	}
	return &Refusal{
		Status: status, Code: b.Error.Code, Message: b.Error.Message, Field: b.Error.Field, Ran: b.Error.Ran,
		RetryAfter: time.Duration(b.Error.RetryAfter * float64(time.Second)), Valid: b.Error.Valid,
	}
}

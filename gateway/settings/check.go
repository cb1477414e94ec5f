package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

const minSecretLength = 16 // characters

// checks maps the values of the struct tag "check" to functions that check a key's text.
var checks = map[string]func(string) error{
	"address":          checkAddress,
	"optional-address": checkOptionalAddress,
	"optional-ip":      checkOptionalIP,
	"url":              checkURL,
	"shares":           checkShares,
	"secret":           checkSecret,
	"sha256":           checkSHA256,
	"policy":           oneOf("latency", "frugal", "restart", "no-probe"),
	"level":            oneOf("debug", "info", "warning", "error"),
	"format":           oneOf("text", "json"),
	"exporter":         oneOf("none", "otlp"),
}

// contradictions returns an error text for each pair of keys whose values exclude each other.
func (s *Settings) contradictions() []string {
	var out []string
	if s.Recovery.SilenceFloor > s.Recovery.SilenceCeiling {
		out = append(out, "[recovery] silence_floor: must not exceed silence_ceiling")
	}
	return append(out, s.Traces.contradictions()...)
}

// contradictions returns an error text for each pair of keys whose values exclude each other.
func (t *Traces) contradictions() []string {
	if t.Exporter == "otlp" && t.Endpoint == "" {
		return []string{"[traces] endpoint: is required for the exporter otlp"}
	}
	return nil
}

func checkAddress(text string) error {
	host, _, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is no host:port", text)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q has to name the host by IP number", text)
	}
	return nil
}

func checkOptionalIP(text string) error {
	if text != "" && net.ParseIP(text) == nil {
		return fmt.Errorf("%q is no IP number", text)
	}
	return nil
}

func checkOptionalAddress(text string) error {
	if text == "" {
		return nil
	}
	return checkAddress(text)
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%q is no http or https URL", text)
	}
	return nil
}

func checkSecret(text string) error {
	if len(text) < minSecretLength {
		return fmt.Errorf("must have at least %d characters", minSecretLength)
	}
	return nil
}

func checkSHA256(text string) error {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != 32 {
		return errors.New("must be a SHA-256 in hexadecimal (64 digits)")
	}
	return nil
}

func checkShares(text string) error {
	_, err := ParseShares(text)
	return err
}

// Bounds of a team's weight.
const minShare, maxShare = 0.01, 100

// ParseShares returns the weights of teams in a list such as "desk:2, field:0.5". The name of a team
// may contain colons.
func ParseShares(text string) (map[string]float64, error) {
	weights := map[string]float64{}
	for _, part := range splitList(text) {
		colon := strings.LastIndex(part, ":")
		if colon < 1 {
			return nil, fmt.Errorf("%q is no team:weight", part)
		}
		team := strings.TrimSpace(part[:colon])
		weight, err := strconv.ParseFloat(strings.TrimSpace(part[colon+1:]), 64)
		if err != nil || !(weight >= minShare && weight <= maxShare) {
			return nil, fmt.Errorf("the weight of %q must be between %v and %v", team, minShare, maxShare)
		}
		if _, twice := weights[team]; twice || team == "" {
			return nil, fmt.Errorf("%q names a team twice or not at all", part)
		}
		weights[team] = weight
	}
	return weights, nil
}

func oneOf(allowed ...string) func(string) error {
	return func(text string) error {
		if !slices.Contains(allowed, text) {
			return fmt.Errorf("%q is none of %s", text, strings.Join(allowed, ", "))
		}
		return nil
	}
}

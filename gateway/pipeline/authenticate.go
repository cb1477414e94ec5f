package pipeline

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/config"
)

// KeyPrefix begins every team key: "agw_<team>_<secret>".
const KeyPrefix = "agw_"

// authenticate finds the team by its key. The key names the team, so that one hash is
// compared with that team's few, in constant time; only hashes are stored.
type authenticate struct{ *Deps }

func (*authenticate) Name() string { return "authenticate" }

func (a *authenticate) Serve(_ context.Context, x *Exchange) error {
	team, err := Authenticate(a.Config, x.R.Header.Get("Authorization"))
	if err != nil {
		return err
	}
	x.Team = team
	return nil
}

// Authenticate returns the team that an Authorization header belongs to.
func Authenticate(c *config.Config, header string) (*config.Team, error) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return nil, apierr.New(apierr.Unauthenticated, "a team key is required (Authorization: Bearer)").WithField("Authorization")
	}
	denied := apierr.New(apierr.Unauthenticated, "the key is not valid").WithField("Authorization")
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return nil, denied
	}
	end := strings.LastIndexByte(rest, '_')
	if end < 0 {
		return nil, denied
	}
	team, ok := c.Team(rest[:end])
	if !ok {
		return nil, denied
	}
	sum := sha256.Sum256([]byte(key))
	match := 0
	for _, h := range team.KeyHashes {
		match |= subtle.ConstantTimeCompare(sum[:], h)
	}
	if match != 1 {
		return nil, denied
	}
	return team, nil
}

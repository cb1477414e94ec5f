package pipeline

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/config"
)

// TeamKeyPrefix is the prefix of every team key. A key has the form "agw_<team>_<secret>".
const TeamKeyPrefix = "agw_"

// authenticate finds the team by its key. The key contains the name of the team, so only the few
// hashes of that team are compared, in constant time. Keys are stored only as hashes.
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

// Authenticate returns the team whose key an Authorization header holds. Any error is an
// [apierr.Error] with the code Unauthenticated.
func Authenticate(c *config.Config, header string) (*config.Team, error) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return nil, apierr.New(apierr.Unauthenticated, "a team key is required (Authorization: Bearer)").WithField("Authorization")
	}
	denied := apierr.New(apierr.Unauthenticated, "the key is not valid").WithField("Authorization")
	rest, ok := strings.CutPrefix(key, TeamKeyPrefix)
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

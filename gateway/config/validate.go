package config

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"sync"

	"github.com/joomcode/errorx"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limits"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("config")
	// ErrInvalid means that the change is invalid; [Field] returns the field at fault.
	ErrInvalid = namespace.NewType("invalid")
	// ErrConflict means that the object has another version than the change was made from;
	// [CurrentVersion] returns it.
	ErrConflict = namespace.NewType("conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrUnavailable means that the platform can't be reached and the change was not made.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrUncertain means that the change may have been made. It can be sent again with the same
	// operation id.
	ErrUncertain = namespace.NewType("uncertain", errorx.Temporary())

	fieldProperty   = errorx.RegisterProperty("field")
	versionProperty = errorx.RegisterProperty("version")
)

// Field returns the field that an error names; empty for none.
func Field(err error) string {
	f, _ := errorx.ExtractProperty(err, fieldProperty)
	text, _ := f.(string)
	return text
}

// CurrentVersion returns the version in force that a conflict names; 0 for none.
func CurrentVersion(err error) uint64 {
	v, _ := errorx.ExtractProperty(err, versionProperty)
	n, _ := v.(uint64)
	return n
}

func invalid(field, format string, args ...any) error {
	return ErrInvalid.New("%s: %s", field, fmt.Sprintf(format, args...)).WithProperty(fieldProperty, field)
}

func conflict(version uint64) error {
	return ErrConflict.New("the object has version %d now", version).WithProperty(versionProperty, version)
}

// namePattern is compiled at the first use. An instance that forwards never needs it, and callers
// of a restarted instance wait for each millisecond of its start.
var namePattern = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
})

func validateName(field, name string) error {
	if !namePattern().MatchString(name) {
		return invalid(field, "%q is no name (1 to 63 of a-z, 0-9, dot, dash, underscore; letters or digits at the ends)", name)
	}
	return nil
}

const (
	maxDeadlineMS    = 3_600_000
	maxWeight        = 1000
	maxSilenceFactor = 100
	maxReplicas      = 10_000
)

// catalogue reports which teams and models exist.
type catalogue struct {
	team  func(string) bool
	model func(string) bool // nil if the platform has no catalogue of models
}

// validateDeployment checks all fields of a deployment, and that the teams and models that it
// names exist.
func validateDeployment(d *operatorv1.Deployment, c catalogue) error {
	if d == nil {
		return invalid("deployment", "is required")
	}
	checks := []func(*operatorv1.Deployment, catalogue) error{
		validateIdentity, validateModel, validateTeams, validateRouting, validateRecovery, validateContract,
	}
	for _, check := range checks {
		if err := check(d, c); err != nil {
			return err
		}
	}
	return nil
}

func validateIdentity(d *operatorv1.Deployment, _ catalogue) error {
	if err := validateName("deployment.name", d.GetName()); err != nil {
		return err
	}
	if k := d.GetKind(); k != operatorv1.Kind_KIND_GENERATION && k != operatorv1.Kind_KIND_PLAIN {
		return invalid("deployment.kind", "has to be generation or plain")
	}
	return validateName("deployment.service", d.GetService())
}

func validateModel(d *operatorv1.Deployment, c catalogue) error {
	if d.GetKind() == operatorv1.Kind_KIND_PLAIN {
		if d.GetModel() != "" || len(d.GetAdapters()) > 0 || d.GetReplicas() > 0 {
			return invalid("deployment.model", "a plain service has no model, adapters or replicas")
		}
		return nil
	}
	if err := validateName("deployment.model", d.GetModel()); err != nil {
		return err
	}
	if c.model != nil && !c.model(d.GetModel()) {
		return invalid("deployment.model", "the weight store has no model %q", d.GetModel())
	}
	for i, a := range d.GetAdapters() {
		field := fmt.Sprintf("deployment.adapters[%d]", i)
		if err := validateName(field, a); err != nil {
			return err
		}
		if c.model != nil && !c.model(d.GetModel()+"."+a) {
			return invalid(field, "the weight store has no adapter %q of %q", a, d.GetModel())
		}
	}
	if v := d.GetVersion(); v != "" {
		if err := validateName("deployment.version", v); err != nil {
			return err
		}
	} else if d.GetReplicas() > 0 {
		return invalid("deployment.version", "is required where replicas are asked for: an order to load names one")
	}
	if r := d.GetRole(); r != "" {
		if err := validateName("deployment.role", r); err != nil {
			return err
		}
		if d.GetReplicas() == 0 {
			return invalid("deployment.role", "needs replicas: it is given along with the order to load")
		}
	}
	if d.GetReplicas() > maxReplicas {
		return invalid("deployment.replicas", "at most %d", maxReplicas)
	}
	return nil
}

func validateTeams(d *operatorv1.Deployment, c catalogue) error {
	if len(d.GetTeams()) == 0 {
		return invalid("deployment.teams", "at least one team is required")
	}
	seen := map[string]bool{}
	for i, t := range d.GetTeams() {
		field := fmt.Sprintf("deployment.teams[%d]", i)
		if !c.team(t) {
			return invalid(field, "there is no team %q", t)
		}
		if seen[t] {
			return invalid(field, "%q is named twice", t)
		}
		seen[t] = true
	}
	return nil
}

func validateRouting(d *operatorv1.Deployment, _ catalogue) error {
	r := d.GetRouting()
	weights := []struct {
		field string
		value float64
	}{{"load_weight", r.GetLoadWeight()}, {"cache_weight", r.GetCacheWeight()}, {"remote_weight", r.GetRemoteWeight()}}
	for _, w := range weights {
		if !(w.value >= 0 && w.value <= maxWeight) {
			return invalid("deployment.routing."+w.field, "must be between 0 and %d", maxWeight)
		}
	}
	return nil
}

func validateRecovery(d *operatorv1.Deployment, _ catalogue) error {
	r := d.GetRecovery()
	switch generation.Policy(r.GetPolicy()) {
	case "", generation.Latency, generation.Frugal, generation.Restart, generation.NoProbe:
	default:
		return invalid("deployment.recovery.policy", "%q is none of latency, frugal (or the baselines restart, no-probe)", r.GetPolicy())
	}
	if f := r.GetSilenceFactor(); f != 0 && !(f >= 1 && f <= maxSilenceFactor) {
		return invalid("deployment.recovery.silence_factor", "must be between 1 and %d, or 0 for the default", maxSilenceFactor)
	}
	return nil
}

func validateContract(d *operatorv1.Deployment, _ catalogue) error {
	c := d.GetContract()
	if _, ok := classByName[c.GetClass()]; !ok {
		return invalid("deployment.contract.class", "%q is none of urgent, long, background", c.GetClass())
	}
	if c.GetDeadlineMs() > maxDeadlineMS {
		return invalid("deployment.contract.deadline_ms", "at most %d", maxDeadlineMS)
	}
	if c.GetDeadlineMs() > 0 && c.GetQueueMs() >= c.GetDeadlineMs() {
		return invalid("deployment.contract.queue_ms", "has to be less than deadline_ms (%d)", c.GetDeadlineMs())
	}
	return nil
}

func validateTeam(t *operatorv1.Team) error {
	if t == nil {
		return invalid("team", "is required")
	}
	if err := validateName("team.name", t.GetName()); err != nil {
		return err
	}
	for i, h := range t.GetKeySha256() {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 {
			return invalid(fmt.Sprintf("team.key_sha256[%d]", i), "must be a SHA-256 in hexadecimal")
		}
	}
	if !(t.GetRate() >= 0) || !(t.GetBurst() >= 0) {
		return invalid("team.rate", "must not be negative")
	}
	if t.GetRate() == 0 && t.GetBurst() > 0 {
		return invalid("team.burst", "needs a rate")
	}
	return nil
}

func newTeam(t *operatorv1.Team, version uint64) *Team {
	out := &Team{Name: t.GetName(), Version: version, Quota: limits.Quota{Rate: t.GetRate(), Burst: t.GetBurst(), Concurrent: int(t.GetConcurrent())}}
	for _, h := range t.GetKeySha256() {
		if raw, err := hex.DecodeString(h); err == nil {
			out.KeyHashes = append(out.KeyHashes, raw)
		}
	}
	return out
}

package soak

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestOverloadFindings: a check that finds nothing under a broken guarantee is worthless, and one that finds
// chance differences hides others.
func TestOverloadFindings(t *testing.T) {
	fair := overloadTally{urgent: rate{40, 38}, other: rate{160, 72}, teams: []rate{{40, 25}, {60, 30}, {100, 55}}, cut: rate{110, 3}}
	for name, c := range map[string]struct {
		change func(*overloadTally)
		part   string // whose check finds something; empty for none
	}{
		"fair":                            {func(*overloadTally) {}, ""},
		"urgent by chance a little less":  {func(t *overloadTally) { t.urgent = rate{40, 15} }, ""},
		"urgent much less":                {func(t *overloadTally) { t.urgent = rate{40, 8} }, "ranks"},
		"a team is starved":               {func(t *overloadTally) { t.teams[0] = rate{20, 1} }, "shared_queue"},
		"a small team is served once":     {func(t *overloadTally) { t.teams[0] = rate{12, 1} }, ""},
		"a team with few requests":        {func(t *overloadTally) { t.teams[0] = rate{9, 0} }, ""},
		"some are cut by chance":          {func(t *overloadTally) { t.cut = rate{110, 6} }, ""},
		"a tenth is cut":                  {func(t *overloadTally) { t.cut = rate{110, 11} }, "deadlines"},
		"none was accepted, none is sent": {func(t *overloadTally) { *t = overloadTally{} }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			tally := fair
			tally.teams = append([]rate(nil), fair.teams...)
			c.change(&tally)
			var without []string
			for _, part := range overloadParts {
				if part != c.part {
					without = append(without, part)
				}
			}
			assert.Equal(t, len(tally.findings(overloadParts)), map[bool]int{true: 1}[c.part != ""], "%v", tally.findings(overloadParts))
			assert.Equal(t, len(tally.findings(without)), 0, "the check is made though %q is off", c.part)
		})
	}
}

// TestOverloadTally guards against outcomes that are counted as others: a stream that broke off early as one that
// was cut at its deadline, or a refusal as a lost connection.
func TestOverloadTally(t *testing.T) {
	now := time.Now()
	attempt := func(status int, complete bool, took time.Duration) overloadAttempt {
		return overloadAttempt{sent: now, ended: now.Add(took), timeout: overloadWait, answer: standin.Answer{Status: status, Complete: complete}}
	}
	second := attempt(http.StatusOK, true, time.Second)
	second.afterRetryAfter = true
	lost := overloadAttempt{sent: now, ended: now, err: errors.New("lost")}
	tally := overloadTally{teams: make([]rate, 2)}
	for _, r := range []overloadRequest{
		{team: 0, urgent: true, attempts: []overloadAttempt{attempt(http.StatusServiceUnavailable, true, 0), second}},
		{team: 0, attempts: []overloadAttempt{attempt(http.StatusOK, false, overloadWait)}},
		{team: 1, attempts: []overloadAttempt{attempt(http.StatusOK, false, time.Second)}},
		{team: 1, attempts: []overloadAttempt{lost}},
	} {
		tally.add(&r, func(*overloadAttempt) bool { return true })
	}
	assert.Equal(t, tally.urgent, rate{1, 1})
	assert.Equal(t, tally.other, rate{3, 0})
	assert.DeepEqual(t, []int{tally.teams[0].had, tally.teams[1].had}, []int{1, 0})
	assert.Equal(t, tally.cut, rate{3, 1})
	assert.Equal(t, tally.firstRefused, rate{4, 1})
	assert.Equal(t, tally.secondRefused, rate{1, 0})
}

// TestOverloadSwitches: an old seed or an older build that got the new settings would not play as before, and a
// mechanism that is not switched off is never noticed.
func TestOverloadSwitches(t *testing.T) {
	for name, c := range map[string]struct {
		o     Options
		knows bool
		want  string
	}{
		"old seed":         {Options{Seed: 8999, OverloadParts: overloadParts}, true, ""},
		"new seed":         {Options{Seed: 9000, OverloadParts: overloadParts}, true, "[overload] deadlines = true speeds = true shared_queue = true"},
		"older build":      {Options{Seed: 9000, OverloadParts: overloadParts, DisabledMechanisms: []string{"ranks", "deadlines"}}, false, ""},
		"without ranks":    {Options{Seed: 9000, OverloadParts: overloadParts[:1], DisabledMechanisms: []string{"line", "ranks"}}, true, "[mechanisms] line = false ranks = false"},
		"ranks not listed": {Options{Seed: 9000, OverloadParts: []string{"speeds"}}, true, "[overload] speeds = true [mechanisms] ranks = false"},
		"without speeds":   {Options{Seed: 9000, OverloadParts: overloadParts[1:3], DisabledMechanisms: []string{"ranks", "speeds"}}, true, "[overload] deadlines = true [mechanisms] ranks = false"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, strings.Join(strings.Fields(switches(&c.o, c.knows)), " "), strings.Join(strings.Fields(c.want), " "))
		})
	}
}

// TestOldSeedsKeepTheirFaults: seeds from before a new kind of faults repeat what they have found.
func TestOldSeedsKeepTheirFaults(t *testing.T) {
	assert.Assert(t, len(faultNamesForSeed(8999)) > len(overloadFaults))
	assert.DeepEqual(t, faultNamesForSeed(9000), overloadFaults)
	assert.DeepEqual(t, faultNamesForSeed(957620553), faultNamesForSeed(1))
}

// TestOverloadedServiceOutlastsChanges: if a new route or key removed the overloaded service from the
// configuration, its requests would be refused for that.
func TestOverloadedServiceOutlastsChanges(t *testing.T) {
	w := &environment{store: standin.NewStore(0), revoked: map[string]revocation{}, routeAcceptedAt: map[uint64]time.Time{}, overload: true}
	w.config = configuration()
	addOverload(&w.config)
	version := w.replaceRoute()
	w.replaceKey()
	count := func(prefix string) (n int) {
		for _, r := range w.config.Routes {
			if r.Prefix == prefix {
				n++
			}
		}
		return n
	}
	for _, prefix := range []string{"/urgent/", "/other/", versionPath(version)} {
		assert.Equal(t, count(prefix), 1, prefix)
	}
	assert.Equal(t, len(w.config.Teams), 1+overloadTeams)
}

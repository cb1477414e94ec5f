// Package cooldown decides when an endpoint that refused a request and asked to be left alone gets
// requests of this instance again.
//
// The time that the endpoint asked for is kept in full; while it lasts, a further refusal can only
// prolong it. An endpoint that is empty after a pause looks best to all instances at the same
// moment, so each one returns a random part of the pause later, with one request at a time until one
// succeeds.
//
// The pause holds for the instance that was refused. An endpoint may refuse one instance and serve
// the others, and a pause that all kept at the word of one would cost the service that endpoint.
//
// The package does no I/O and reads no clock. A Cooldown is not safe for concurrent use.
package cooldown

import "time"

const (
	// returnShare is the part of a pause over which the return is spread, up to maxReturnSpread.
	returnShare     = 0.25
	maxReturnSpread = time.Second
)

// Cooldown is the pause of one endpoint. The zero value is none.
type Cooldown struct {
	until   time.Time
	onTrial bool
}

// Refused records that the endpoint refused a request and wants no other one for a time. spread, from
// 0 to 1, is where in the spread of returns this instance comes.
func (c *Cooldown) Refused(now time.Time, pause time.Duration, spread float64) {
	late := time.Duration(spread * float64(min(time.Duration(returnShare*float64(pause)), maxReturnSpread)))
	if until := now.Add(pause + late); until.After(c.until) {
		c.until = until
	}
	c.onTrial = true
}

// Active reports whether the endpoint gets no request.
func (c *Cooldown) Active(now time.Time) bool { return now.Before(c.until) }

// Until returns when the last pause ends or ended; zero if there was none.
func (c *Cooldown) Until() time.Time { return c.until }

// OnTrial reports whether the endpoint gets one request at a time, since none has succeeded after the
// pause.
func (c *Cooldown) OnTrial() bool { return c.onTrial }

// Succeeded records that the endpoint served a request. One that was sent before the pause does not
// end it.
func (c *Cooldown) Succeeded(now time.Time) {
	if !c.Active(now) {
		c.onTrial = false
	}
}

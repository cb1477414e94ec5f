package admission

import "time"

// Fragility is what is known of whether the endpoints of a service are fragile. All of them are
// fragile at the same times, and all of their answers say so, so one answer tells about all: an
// endpoint that has just started is fragile before it has answered anything. The zero value knows of
// no fragility.
type Fragility struct {
	maxRefusals        int
	fragileAt, soundAt time.Time
}

const (
	// fragilityMargin is how much newer an answer has to be that ends the fragility of a service.
	// Answers of several endpoints do not arrive in the order in which they were made.
	fragilityMargin = 300 * time.Millisecond
	// fragilityTTL is how long a service counts as fragile after the last answer that said so.
	fragilityTTL = 30 * time.Second
)

// Record records whether an answer that arrived at a time says that its endpoint is fragile.
func (f *Fragility) Record(l Limits, at time.Time) {
	switch {
	case !l.Fragile:
		if at.After(f.soundAt) {
			f.soundAt = at
		}
	case at.After(f.fragileAt):
		f.maxRefusals, f.fragileAt = l.MaxRefusals, at
	}
}

// Apply returns the limits of an endpoint of the service that stated some limits itself.
func (f *Fragility) Apply(now time.Time, own Statement) Statement {
	fragile := !f.fragileAt.IsZero() && now.Sub(f.fragileAt) < fragilityTTL && f.soundAt.Sub(f.fragileAt) < fragilityMargin
	if !fragile {
		own.Fragile, own.MaxRefusals = false, 0
		return own
	}
	own.Fragile, own.MaxRefusals = true, f.maxRefusals
	if f.fragileAt.After(own.At) {
		own.At = f.fragileAt
	}
	return own
}

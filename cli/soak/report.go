package soak

import (
	"encoding/json"
	"html/template"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarize a histogram, in milliseconds; N is the number of values.
type Quantiles struct {
	N   int64 `json:"n"`
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Second counts the outcomes of the requests that ended in one second of the soak.
type Second struct {
	At      int `json:"at"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
}

// Moment is a fault and when it started, in seconds since the start of the soak.
type Moment struct {
	At   float64 `json:"at"`
	What string  `json:"what"`
}

// Report is a result with its measurements.
type Report struct {
	Seed uint64 `json:"seed"`
	Result
	FirstEvent   Quantiles `json:"first_event_ms"`
	LongestPause Quantiles `json:"longest_pause_ms"`
	Plain        Quantiles `json:"plain_ms"`
	Seconds      []Second  `json:"seconds"`
	Moments      []Moment  `json:"moments"`
}

// measurements collects what is measured while a soak runs. It is guarded by the soak's mutex.
type measurements struct {
	firstEvent, longestPause, plain *hdrhistogram.Histogram
	seconds                         []Second
	moments                         []Moment
}

// maxRecordedMS is the longest time that a histogram holds, in milliseconds. Longer times are
// recorded as this one.
const maxRecordedMS = 60_000

func newMeasurements() measurements {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMS, 3) }
	return measurements{firstEvent: h(), longestPause: h(), plain: h()}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.TotalCount(), h.ValueAtPercentile(50), h.ValueAtPercentile(95), h.ValueAtPercentile(99), h.Max()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxRecordedMS)) // the value is within the range of the histogram
}

// second returns the counts of the second that contains a time, which is given since the start of
// the soak.
func (f *measurements) second(since time.Duration) *Second {
	at := int(since.Seconds())
	for len(f.seconds) <= at {
		f.seconds = append(f.seconds, Second{At: len(f.seconds)})
	}
	return &f.seconds[at]
}

func (f *measurements) report(seed uint64, r Result) Report {
	return Report{
		Seed: seed, Result: r, FirstEvent: quantiles(f.firstEvent), LongestPause: quantiles(f.longestPause), Plain: quantiles(f.plain),
		Seconds: f.seconds, Moments: f.moments,
	}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Sizes of the plot, in pixels.
const (
	barWidth  = 14
	barHeight = 160
)

// WritePage writes the report as an HTML page with a plot of the outcomes in each second.
func (r *Report) WritePage(w io.Writer) error {
	maxRequests := 1
	for _, s := range r.Seconds {
		maxRequests = max(maxRequests, s.Served+s.Refused+s.Unknown)
	}
	scale := func(n int) int { return n * barHeight / maxRequests }
	t, err := template.New("page").Funcs(template.FuncMap{
		"x": func(at int) int { return at * barWidth }, "h": scale,
		"y": func(above ...int) int {
			sum := 0
			for _, n := range above {
				sum += scale(n)
			}
			return barHeight - sum
		},
		"fx":   func(at float64) int { return int(at * barWidth) },
		"wide": func() int { return len(r.Seconds) * barWidth },
	}).Parse(page)
	if err != nil {
		return err
	}
	return t.Execute(w, r)
}

const page = `<!doctype html><meta charset="utf-8"><title>soak, seed {{.Seed}}</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}</style>
<h1>Soak, seed {{.Seed}}</h1>
<p>{{.Asked}} asked, {{.Served}} served, {{.Refused}} refused, {{.Unknown}} with unknown outcome, {{.Faults}} faults, {{len .Findings}} findings</p>
<table><tr><th></th><th>n</th><th>p50 ms</th><th>p95 ms</th><th>p99 ms</th><th>most ms</th></tr>
{{define "q"}}<td>{{.N}}</td><td>{{.P50}}</td><td>{{.P95}}</td><td>{{.P99}}</td><td>{{.Max}}</td>{{end}}
<tr><th>first event</th>{{template "q" .FirstEvent}}</tr><tr><th>longest pause</th>{{template "q" .LongestPause}}</tr><tr><th>plain answer</th>{{template "q" .Plain}}</tr></table>
<h2>Each second: served (green), refused (orange), unknown (red); lines are faults</h2>
<svg width="{{wide}}" height="170">
{{range .Seconds}}<rect x="{{x .At}}" y="{{y .Served}}" width="12" height="{{h .Served}}" fill="#4a4"/><rect x="{{x .At}}" y="{{y .Served .Refused}}" width="12" height="{{h .Refused}}" fill="#e93"/><rect x="{{x .At}}" y="{{y .Served .Refused .Unknown}}" width="12" height="{{h .Unknown}}" fill="#c22"/>
{{end}}{{range .Moments}}<line x1="{{fx .At}}" x2="{{fx .At}}" y1="0" y2="160" stroke="#0006"><title>{{.What}}</title></line>{{end}}
</svg>
<ul>{{range .Findings}}<li>{{.}}</li>{{end}}</ul>
<ol>{{range .Moments}}<li>{{printf "%.1f" .At}} s: {{.What}}</li>{{end}}</ol>
`

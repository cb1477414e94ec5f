// Package explain tells the story of one request from the logs of all instances: what was decided, in
// order, from which inputs, and what the instances believed meanwhile.
//
// Failure modes: lines that are no JSON are passed over and counted, since logs may come with other
// output; lines that were left out by the instances' own budgets are named, since the story may then have
// gaps.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Request  string
	Message  string
	Level    string
	// Inputs are the other fields.
	Inputs map[string]any
}

// Names of fields of a line.
const (
	fieldTime     = "time"
	fieldInstance = "instance"
	fieldRequest  = "request"
	fieldMessage  = "msg"
	fieldLevel    = "level"
	fieldEndpoint = "endpoint"
	fieldAge      = "age_ms"
)

// Log is what was read.
type Log struct {
	Lines []Line
	// Unread counts lines that are no log lines.
	Unread int
}

// lineMost bounds a line, in bytes.
const lineMost = 1 << 20

// Read adds the lines of a log. A line may have a prefix before its JSON, as collectors add one.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineMost)
	for s.Scan() {
		if line, ok := parse(s.Text()); ok {
			l.Lines = append(l.Lines, line)
		} else {
			l.Unread++
		}
	}
	return s.Err()
}

func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return Line{}, false
	}
	take := func(name string) string {
		v, _ := fields[name].(string)
		delete(fields, name)
		return v
	}
	line := Line{Instance: take(fieldInstance), Request: take(fieldRequest), Message: take(fieldMessage), Level: take(fieldLevel)}
	when, err := time.Parse(time.RFC3339Nano, take(fieldTime))
	line.Time, line.Inputs = when, fields
	return line, err == nil && line.Message != ""
}

// Story is what is known of one request.
type Story struct {
	Request string
	Lines   []Line
	// Beliefs are what the instances involved logged of themselves and of the endpoints involved, from a
	// little before the request to its end.
	Beliefs []Line
	// LeftOut counts lines that these instances left out meanwhile.
	LeftOut int
}

// before is how long before a request its instances' beliefs are of interest.
const before = 5 * time.Second

// leftOut is the message of a line that counts lines left out.
const leftOut = "decisions left out of the log"

// Of returns the story of a request; false when no line names it.
func (l *Log) Of(request string) (Story, bool) {
	story := Story{Request: request}
	instances, endpoints := map[string]bool{}, map[string]bool{}
	for _, line := range l.Lines {
		if line.Request != request {
			continue
		}
		story.Lines = append(story.Lines, line)
		instances[line.Instance] = true
		if e, ok := line.Inputs[fieldEndpoint].(string); ok {
			endpoints[e] = true
		}
	}
	if len(story.Lines) == 0 {
		return story, false
	}
	byTime(story.Lines)
	from, to := story.Lines[0].Time.Add(-before), story.Lines[len(story.Lines)-1].Time
	for _, line := range l.Lines {
		if line.Request != "" || !instances[line.Instance] || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		if line.Message == leftOut {
			n, _ := line.Inputs["lines"].(float64)
			story.LeftOut += int(n)
			continue
		}
		if e, ok := line.Inputs[fieldEndpoint].(string); ok && !endpoints[e] {
			continue
		}
		story.Beliefs = append(story.Beliefs, line)
	}
	byTime(story.Beliefs)
	return story, true
}

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// old is the age from which an input is named as old: in calm times the configuration is known to be in
// force within a second.
const old = 1500 * time.Millisecond

// Print writes the story, a line a decision, with the time since the first one.
func (s *Story) Print(w io.Writer) error {
	began := s.Lines[0].Time
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "request %s, first seen %s\n", s.Request, began.Format(time.RFC3339Nano))
	for _, line := range s.Lines {
		printLine(&b, began, &line)
		if age, ok := line.Inputs[fieldAge].(float64); ok && age >= float64(old.Milliseconds()) {
			_, _ = fmt.Fprintf(&b, "           ^ old: the configuration was known to be in force %.1f s before\n", age/1000)
		}
	}
	if len(s.Beliefs) > 0 {
		_, _ = fmt.Fprintf(&b, "what these instances believed, from %v before\n", before)
		for _, line := range s.Beliefs {
			printLine(&b, began, &line)
		}
	}
	if s.LeftOut > 0 {
		_, _ = fmt.Fprintf(&b, "%d lines were left out meanwhile: the story may have gaps\n", s.LeftOut)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func printLine(b *strings.Builder, began time.Time, line *Line) {
	_, _ = fmt.Fprintf(b, "%+9.3f s  %-20s %s", line.Time.Sub(began).Seconds(), line.Instance, line.Message)
	names := make([]string, 0, len(line.Inputs))
	for name := range line.Inputs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if v := line.Inputs[name]; v != "" {
			_, _ = fmt.Fprintf(b, " %s=%v", name, v)
		}
	}
	b.WriteByte('\n')
}

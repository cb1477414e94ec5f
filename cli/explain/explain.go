// Package explain builds the timeline of one request from the logs of all instances: which
// decisions were made, in order and from which inputs, and what the instances logged about
// themselves and the endpoints meanwhile.
//
// Failure modes: lines that are not JSON are skipped and counted, because logs may contain other
// output. Instances drop lines when their log budget is used up. The timeline then says how many
// lines are missing.
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

// Line is one line of a log. Request is empty if the line belongs to no request.
type Line struct {
	Time     time.Time
	Instance string
	Request  string
	Message  string
	Level    string
	// Fields holds the fields of the line that have no place above, by name.
	Fields map[string]any
}

// Names of fields in a log line. The age is that of the configuration: the time since it was last
// known to be the newest, in milliseconds.
const (
	fieldTime     = "time"
	fieldInstance = "instance"
	fieldRequest  = "request"
	fieldMessage  = "msg"
	fieldLevel    = "level"
	fieldEndpoint = "endpoint"
	fieldAge      = "age_ms"
)

// Log collects the lines of all logs read. The zero value is empty and ready for use.
type Log struct {
	Lines []Line
	// Unparsed counts lines that are not log lines.
	Unparsed int
}

// maxLineBytes is the maximum length of a line. A longer line ends the reading with an error.
const maxLineBytes = 1 << 20

// Read adds the lines of a log. Text before the JSON of a line is ignored, because log collectors
// add a prefix.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if line, ok := parseLine(s.Text()); ok {
			l.Lines = append(l.Lines, line)
		} else {
			l.Unparsed++
		}
	}
	return s.Err()
}

// parseLine parses one line. It returns false if the line has no JSON, no time or no message.
func parseLine(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return Line{}, false
	}
	takeString := func(name string) string {
		v, _ := fields[name].(string)
		delete(fields, name)
		return v
	}
	line := Line{Instance: takeString(fieldInstance), Request: takeString(fieldRequest), Message: takeString(fieldMessage), Level: takeString(fieldLevel)}
	when, err := time.Parse(time.RFC3339Nano, takeString(fieldTime))
	line.Time, line.Fields = when, fields
	return line, err == nil && line.Message != ""
}

// Timeline holds the log lines about one request, each list sorted by time.
type Timeline struct {
	Request string
	Lines   []Line
	// InstanceLines are the lines that name no request, from the instances that handled this one.
	// Lines about endpoints that the request did not use are left out. The lines begin a lookback
	// before the first line of the request and end with its last line.
	InstanceLines []Line
	// DroppedLines counts the lines that these instances dropped in the same time.
	DroppedLines int
}

// lookback is the time before a request from which lines of its instances are shown.
const lookback = 5 * time.Second

// droppedLinesMessage is the message with which an instance reports how many lines it dropped.
const droppedLinesMessage = "decisions left out of the log"

// TimelineOf returns the timeline of a request. It returns false if no line names the request.
func (l *Log) TimelineOf(request string) (Timeline, bool) {
	timeline := Timeline{Request: request}
	instances, endpoints := map[string]bool{}, map[string]bool{}
	for _, line := range l.Lines {
		if line.Request != request {
			continue
		}
		timeline.Lines = append(timeline.Lines, line)
		instances[line.Instance] = true
		if e, ok := line.Fields[fieldEndpoint].(string); ok {
			endpoints[e] = true
		}
	}
	if len(timeline.Lines) == 0 {
		return timeline, false
	}
	sortByTime(timeline.Lines)
	from, to := timeline.Lines[0].Time.Add(-lookback), timeline.Lines[len(timeline.Lines)-1].Time
	for _, line := range l.Lines {
		if line.Request != "" || !instances[line.Instance] || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		if line.Message == droppedLinesMessage {
			n, _ := line.Fields["lines"].(float64)
			timeline.DroppedLines += int(n)
			continue
		}
		if e, ok := line.Fields[fieldEndpoint].(string); ok && !endpoints[e] {
			continue
		}
		timeline.InstanceLines = append(timeline.InstanceLines, line)
	}
	sortByTime(timeline.InstanceLines)
	return timeline, true
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// oldAge is the age from which Print marks the configuration of a decision as old. Without faults an
// instance confirms its configuration within a second.
const oldAge = 1500 * time.Millisecond

// Print writes one line per decision, with the time since the first line of the request. The lines
// of the instances and the number of dropped lines follow. A timeline without lines must not be
// printed.
func (t *Timeline) Print(w io.Writer) error {
	first := t.Lines[0].Time
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "request %s, first seen %s\n", t.Request, first.Format(time.RFC3339Nano))
	for _, line := range t.Lines {
		printLine(&b, first, &line)
		if age, ok := line.Fields[fieldAge].(float64); ok && age >= float64(oldAge.Milliseconds()) {
			_, _ = fmt.Fprintf(&b, "           ^ old: the configuration was known to be in force %.1f s before\n", age/1000)
		}
	}
	if len(t.InstanceLines) > 0 {
		_, _ = fmt.Fprintf(&b, "what these instances believed, from %v before\n", lookback)
		for _, line := range t.InstanceLines {
			printLine(&b, first, &line)
		}
	}
	if t.DroppedLines > 0 {
		_, _ = fmt.Fprintf(&b, "%d lines were left out meanwhile: the story may have gaps\n", t.DroppedLines)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func printLine(b *strings.Builder, first time.Time, line *Line) {
	_, _ = fmt.Fprintf(b, "%+9.3f s  %-20s %s", line.Time.Sub(first).Seconds(), line.Instance, line.Message)
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if v := line.Fields[name]; v != "" {
			_, _ = fmt.Fprintf(b, " %s=%v", name, v)
		}
	}
	b.WriteByte('\n')
}

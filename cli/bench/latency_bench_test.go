package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/network"
)

// startSingleInstance starts one engine and one instance over TCP.
func startSingleInstance(b *testing.B, interval time.Duration) *run {
	p := Profiles["dala"]
	p.Engines, p.Gateways, p.Slots, p.Interval = 1, 1, 64, interval
	r := &run{Config: Config{Policy: "latency", Log: io.Discard}, profile: p}
	if err := r.start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(r.close)
	return r
}

func (r *run) startRequest(i, tokens int) *endpoint.StartRequest {
	return &endpoint.StartRequest{Generation: fmt.Sprint("g", i), Attempt: 1, Model: r.profile.Model, Version: "1", Prompt: fmt.Sprint("p", i), MaxTokens: tokens}
}

// tokenTimes records when tokens arrive.
type tokenTimes struct{ at []time.Time }

func (t *tokenTimes) Acked(*endpoint.Ack) {}
func (t *tokenTimes) Token(int, []byte)   { t.at = append(t.at, time.Now()) }
func (t *tokenTimes) Keepalive()          {}
func (t *tokenTimes) Ended(*endpoint.End) {}

// generateDirectly generates at the engine, without an instance, and returns the times of the tokens.
func (r *run) generateDirectly(b *testing.B, c *endpoint.Client, i, tokens int) []time.Time {
	s, err := c.Open(context.Background(), r.engines[0].Addr, r.startRequest(i, tokens))
	if err != nil {
		b.Error(err)
		return nil
	}
	defer s.Close()
	t := &tokenTimes{}
	if err := s.Receive(t); err != nil {
		b.Error(err)
	}
	return t.at
}

// generateThroughInstance generates through the instance and returns the times of the tokens.
func (r *run) generateThroughInstance(b *testing.B, c *http.Client, i, tokens int) []time.Time {
	body := fmt.Sprintf(`{"model":%q,"prompt":"p%d","max_tokens":%d,"stream":true}`, r.profile.Deployment, i, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+r.gateways[0].Callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+r.teamKey())
	resp, err := c.Do(req)
	if err != nil {
		b.Error(err)
		return nil
	}
	defer resp.Body.Close()
	var at []time.Time
	for scan := bufio.NewScanner(resp.Body); scan.Scan(); {
		if bytes.HasPrefix(scan.Bytes(), []byte("id: ")) {
			at = append(at, time.Now())
		}
	}
	return at
}

// median returns the median in microseconds, or 0 if d is empty. It sorts d.
func median(d []time.Duration) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return float64(d[len(d)/2].Microseconds())
}

// BenchmarkAddedFirstToken compares the time to the first token at the engine with that through an
// instance. The two alternate.
func BenchmarkAddedFirstToken(b *testing.B) {
	r := startSingleInstance(b, time.Millisecond)
	c, h := endpoint.NewClient(time.Second, network.TCP{}), &http.Client{}
	var alone, through []time.Duration
	i := 0
	for b.Loop() {
		i += 2
		began := time.Now()
		if at := r.generateDirectly(b, c, i, 3); len(at) > 0 {
			alone = append(alone, at[0].Sub(began))
		}
		began = time.Now()
		if at := r.generateThroughInstance(b, h, i+1, 3); len(at) > 0 {
			through = append(through, at[0].Sub(began))
		}
	}
	b.ReportMetric(median(alone), "us-alone-p50")
	b.ReportMetric(median(through)-median(alone), "us-added-p50")
}

// BenchmarkAddedPerToken measures the delay that an instance adds per token. It runs pairs of
// streams in one batch, one directly and one through an instance. The engine sends the tokens of
// one step together, so their difference in time is that delay.
func BenchmarkAddedPerToken(b *testing.B) {
	const tokens, interval = 100, 10 * time.Millisecond
	r := startSingleInstance(b, interval)
	c, h := endpoint.NewClient(time.Second, network.TCP{}), &http.Client{}
	var added []time.Duration
	i := 0
	for b.Loop() {
		i += 2
		var alone []time.Time
		done := make(chan struct{})
		go func() {
			defer close(done)
			alone = r.generateDirectly(b, c, i, tokens)
		}()
		through := r.generateThroughInstance(b, h, i+1, tokens)
		<-done
		for _, t := range through {
			// The direct token of the same step arrived less than half a step apart.
			n, _ := slices.BinarySearchFunc(alone, t, func(a, t time.Time) int { return a.Compare(t) })
			if n > 0 && t.Sub(alone[n-1]) < interval/2 {
				added = append(added, t.Sub(alone[n-1]))
			} else if n < len(alone) && alone[n].Sub(t) < interval/2 {
				added = append(added, t.Sub(alone[n]))
			}
		}
	}
	b.ReportMetric(median(added), "us-added-p50")
	b.ReportMetric(float64(added[len(added)*99/100].Microseconds()), "us-added-p99")
}

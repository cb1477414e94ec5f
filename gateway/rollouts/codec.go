package rollouts

import (
	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/clock"
)

// EncodeReports returns reports in the form in which they are sent to other instances.
func EncodeReports(reports []rollout.Report) []*peerv1.RolloutReport {
	out := make([]*peerv1.RolloutReport, len(reports))
	for i := range reports {
		r := &reports[i]
		out[i] = &peerv1.RolloutReport{
			Service: r.Service, Order: r.OrderID, Age: clock.EncodeAge(r.Age), Decision: peerv1.RolloutDecision(r.Decision), Why: r.Reason,
			Moving: clock.EncodeAge(r.MovingFor), Left: uint32(max(r.Undrained, 0)), Counting: clock.EncodeAge(r.CountingFor),
		}
		for cell, c := range r.Tally {
			out[i].Cells = append(out[i].Cells, encodeCell(cell, c))
		}
	}
	return out
}

func encodeCell(cell rollout.Cell, c *rollout.Counts) *peerv1.RolloutCell {
	out := &peerv1.RolloutCell{
		Route: cell.Route, Target: cell.Arm == rollout.Target, Group: uint32(cell.Group), Moving: cell.Moving,
		Sent: c.Sent, Answered: c.Answered, Failed: c.Failed, Lost: c.Lost,
	}
	out.FirstFrom, out.First = encodeHistogram(&c.AnswerTime)
	out.GapFrom, out.Gap = encodeHistogram(&c.EventGap)
	return out
}

// encodeHistogram returns the index of the first bucket that is not empty, and the buckets from
// there to the last one that is not.
func encodeHistogram(h *rollout.Histogram) (from uint32, counts []uint64) {
	first, last := len(h), -1
	for i, n := range h {
		if n > 0 {
			first, last = min(first, i), i
		}
	}
	if last < 0 {
		return 0, nil
	}
	return uint32(first), h[first : last+1]
}

// DecodeReports returns the reports that another instance sent. It leaves out those without a
// service or with an unknown decision.
func DecodeReports(reports []*peerv1.RolloutReport) []rollout.Report {
	var out []rollout.Report
	for _, r := range reports {
		if r.GetService() == "" || r.GetDecision() < 0 || r.GetDecision() > peerv1.RolloutDecision(rollout.RollBack) {
			continue
		}
		in := rollout.Report{
			Service: r.Service, OrderID: r.Order, Age: clock.DecodeAge(r.Age), Decision: rollout.Decision(r.Decision), Reason: r.Why,
			MovingFor: clock.DecodeAge(r.Moving), Undrained: int(r.Left), CountingFor: clock.DecodeAge(r.Counting), Tally: rollout.Tally{},
		}
		for _, c := range r.Cells {
			if c != nil {
				cell, counts := decodeCell(c)
				in.Tally[cell] = &counts
			}
		}
		out = append(out, in)
	}
	return out
}

func decodeCell(c *peerv1.RolloutCell) (rollout.Cell, rollout.Counts) {
	cell := rollout.Cell{Route: c.Route, Group: uint8(c.Group), Moving: c.Moving}
	if c.Target {
		cell.Arm = rollout.Target
	}
	return cell, rollout.Counts{
		Sent: c.Sent, Answered: c.Answered, Failed: c.Failed, Lost: c.Lost,
		AnswerTime: decodeHistogram(c.FirstFrom, c.First), EventGap: decodeHistogram(c.GapFrom, c.Gap),
	}
}

func decodeHistogram(from uint32, counts []uint64) (h rollout.Histogram) {
	for i, n := range counts {
		if at := uint64(from) + uint64(i); at < uint64(len(h)) {
			h[at] = n
		}
	}
	return h
}

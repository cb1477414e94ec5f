package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReportAfterMergeCountsOnce guards against retries that count twice, when another instance has heard a later report
// than this one and tells of it before the next report comes.
func TestReportAfterMergeCountsOnce(t *testing.T) {
	counts := func(process, retries uint64) RetryCounts {
		return RetryCounts{Requests: 2 * retries, Retries: retries, RecentRequests: 2 * retries, RecentRetries: retries, Process: process}
	}
	tests := map[string]struct {
		known, heard []RetryCounts // by this instance, and by the other one
		next         RetryCounts
		want         uint64
	}{
		"later report of the process":   {[]RetryCounts{counts(1, 10)}, []RetryCounts{counts(1, 30)}, counts(1, 32), 32},
		"earlier report of the process": {[]RetryCounts{counts(1, 10), counts(1, 30)}, []RetryCounts{counts(1, 10)}, counts(1, 32), 32},
		"next process":                  {[]RetryCounts{counts(1, 10)}, []RetryCounts{counts(1, 10), counts(2, 20)}, counts(2, 21), 31},
		"process before":                {[]RetryCounts{counts(2, 3)}, []RetryCounts{counts(1, 10)}, counts(2, 4), 14},
		"nothing known":                 {nil, []RetryCounts{counts(1, 30)}, counts(1, 32), 32},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			own, other := NewRetryLedger(10*time.Second), NewRetryLedger(10*time.Second)
			for _, c := range test.known {
				own.Update(time.Second, "a", c)
			}
			for _, c := range test.heard {
				other.Update(time.Second, "a", c)
			}
			for _, s := range other.Export(2 * time.Second) {
				own.Merge(2*time.Second, &s)
			}
			own.Update(3*time.Second, "a", test.next)
			requests, retries := own.Sum(3 * time.Second)
			assert.Equal(t, retries, test.want)
			assert.Equal(t, requests, 2*test.want)
		})
	}
}

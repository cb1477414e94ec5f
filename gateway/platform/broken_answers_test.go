package platform_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/internal/brokenanswers"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/platform"
	store "github.com/agateway/agateway/platform"
)

const object = `{"metadata":{"name":"a","revision":7},"spec":{}}`

// TestInvalidStatusesOfStore guards against an answer of the store that counts although what stands in place of its
// status code is none: it is no answer to a read, and leaves it open whether a write was made.
func TestInvalidStatusesOfStore(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		assertNoAnswer(t, "HTTP/1.1 "+status+" X\r\n")
	}
}

// TestMalformedHeadsOfStore guards against an answer of the store that counts although a line of its head is no field,
// such as the one that states the era.
func TestMalformedHeadsOfStore(t *testing.T) {
	for _, line := range []string{"X Note: 1", "X-Note : 1", "X\tNote: 1", "X\x01Note: 1", "X\x7fNote: 1", " X-Note: 1", "\tX-Note: 1", "X-Note: \x01", "Store-Era : 3"} {
		assertNoAnswer(t, "HTTP/1.1 200 OK\r\nX-First: 1\r\n"+line+"\r\n")
	}
}

// assertNoAnswer checks that an answer of the store with a head, without its framing and end, counts as none.
func assertNoAnswer(t *testing.T, head string) {
	framedObject := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(object), object)
	for _, soundAnswers := range []int{0, 1} {
		t.Run(fmt.Sprintf("%q/%d", head, soundAnswers), func(t *testing.T) {
			address := brokenanswers.Serve(t, soundAnswers, "HTTP/1.1 200 OK\r\n"+framedObject, head+framedObject)
			s := platform.NewObjects("http://"+address, 2*time.Second, network.TCP{}).Store()
			brokenanswers.AssertFail(t, soundAnswers, store.ErrUnavailable, func() error { _, err := s.Get(context.Background(), "kind", "a"); return err })
			brokenanswers.AssertFail(t, soundAnswers, store.ErrUncertain, func() error {
				_, err := s.Replace(context.Background(), "kind", "a", []byte("{}"), revision.Position{})
				return err
			})
		})
	}
}

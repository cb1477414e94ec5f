package generation_test

import (
	"fmt"
	"time"

	"github.com/agateway/agateway/core/generation"
)

// Example shows a generation that survives the failure of its engine. Tokens of the second stream
// are accepted only after its engine has acknowledged the journal.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := generation.New(generation.DefaultConfig(generation.Frugal), generation.Origin{}, true, 100, now, now.Add(time.Minute))
	show := func() {
		for _, a := range m.Ready() {
			fmt.Printf("%T\n", a)
		}
	}
	show()
	m.Acked(now, 1, generation.Stream{Endpoint: "e1", ID: "s1"}, 0, 0, 0)
	fmt.Println(m.Token(now, 1, 0, []byte(" the")))
	m.Failed(now, 1, generation.Gone, 0)
	show()
	fmt.Println(m.Token(now, 2, 1, []byte(" case"))) // not acknowledged yet
	m.Acked(now, 2, generation.Stream{Endpoint: "e2", ID: "s2"}, 1, m.Journal().Hash(), 0)
	fmt.Println(m.Token(now, 2, 1, []byte(" case")))
	m.Done(now, 2, 2, m.Journal().Hash(), "stop")
	show()
	fmt.Println(m.Journal().Text())
	// Output:
	// generation.Start
	// true
	// generation.Cancel
	// generation.Start
	// false
	// true
	// generation.Finish
	//  the case
}

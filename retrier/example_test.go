package retrier_test

import (
	"fmt"

	"tarragonshed.example/result"
	"tarragonshed.example/retrier"
)

// Only reads, and statements that did not run, are ever retried.
func Example() {
	fmt.Println("write with an unknown outcome:", retrier.Retryable(result.Unknown, false, false))
	fmt.Println("write that did not run:", retrier.Retryable(result.NotRun, false, false))
	fmt.Println("read with an unknown outcome:", retrier.Retryable(result.Unknown, true, false))
	fmt.Println("read whose response has begun:", retrier.Retryable(result.Unknown, true, true))
	// Output:
	// write with an unknown outcome: false
	// write that did not run: true
	// read with an unknown outcome: true
	// read whose response has begun: false
}

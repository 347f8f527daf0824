package engine

import (
	"math"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// longestName and longestPosition are the longest that the engine puts into a caller's statement:
// its own name of a prepared statement, and the position that an instance must have reached.
const longestName = "p9999"

var longestPosition = unit.Position{Term: math.MaxUint64, Index: math.MaxUint64}

// errTooLarge returns the error for a statement that can't be sent with what the engine puts into
// it.
func errTooLarge() *result.Error {
	return result.New(result.StatementTooLarge, "the statement can't be sent to an instance: it would exceed the size of a message")
}

// checkSize refuses a call that no instance can be sent, and marks a read that can't be sent with a
// position.
func (s *Session) checkSize(c *call) *result.Error {
	r := Request{ID: c.ID, Statement: c.Statement}
	if st, ok := c.Statement.(Execute); ok {
		st.Name = longestName
		r.Statement = st
	}
	if !s.engine.connector.Fits(r) {
		return errTooLarge()
	}
	r.After = longestPosition
	c.withoutPosition = !c.writes && !s.engine.connector.Fits(r)
	return nil
}

package historian

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"tarragonshed.example/result"
)

// unsent is the error of an operation whose deciding statement, such as COMMIT, was never
// sent. The operation did not run.
type unsent struct{ err error }

// Unsent returns an error by which [Classify] reports that an operation did not run, as
// its deciding statement was never sent.
func Unsent(err error) error { return &unsent{err} }

// Cancelled reports whether err has the result code [result.RequestCancelled]: the request
// key is claimed, so that no attempt of the request can run any more.
func Cancelled(err error) bool { return result.Code(codeOf(err)) == result.RequestCancelled }

func (u *unsent) Error() string { return "before the deciding statement: " + u.err.Error() }
func (u *unsent) Unwrap() error { return u.err }

// Classify returns the outcome of an operation and its result code, given its error.
func Classify(err error) (Outcome, string) {
	var u *unsent
	var e *pgconn.PgError
	switch {
	case err == nil:
		return Done, ""
	case errors.As(err, &u):
		return NotRun, codeText(err)
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return NotRun, "rolled back"
	case codeOf(err) > 0:
		switch result.Code(codeOf(err)).Entry().Outcome {
		case result.NotRun:
			return NotRun, codeText(err)
		case result.Ran:
			return Done, codeText(err)
		}
		return Unknown, codeText(err)
	case errors.As(err, &e) && e.Severity != "FATAL":
		return NotRun, e.Code
	case pgconn.SafeToRetry(err):
		return NotRun, "unsent"
	default:
		return Unknown, codeText(err)
	}
}

// codeOf returns the result code that the message begins with, or zero.
func codeOf(err error) int {
	var e *pgconn.PgError
	if !errors.As(err, &e) || !strings.HasPrefix(e.Message, "TS") || len(e.Message) < 6 {
		return 0
	}
	code, _ := strconv.Atoi(e.Message[2:6])
	return code
}

// codeText returns the code of err as a report shows it: a result code, an SQLSTATE, or
// "timeout" or "connection".
func codeText(err error) string {
	var e *pgconn.PgError
	switch {
	case codeOf(err) > 0:
		return result.Code(codeOf(err)).String()
	case errors.As(err, &e):
		return e.Code
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	default:
		return "connection"
	}
}

package target

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
)

// failure is an error with an SQLSTATE.
type failure struct {
	code, message string
}

func (f *failure) Error() string { return f.message + " (SQLSTATE " + f.code + ")" }

func fail(code, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// Primary and extended result codes of SQLite.
const (
	sqliteBusy       = 5
	sqliteReadOnly   = 8
	sqliteInterrupt  = 9
	sqliteTooBig     = 18
	sqliteConstraint = 19
	sqliteMismatch   = 20
	sqliteCheck      = 275
	sqliteForeignKey = 787
	sqliteNotNull    = 1299
	sqlitePrimaryKey = 1555
	sqliteUnique     = 2067
	sqliteRowID      = 2579
)

// messageStates maps parts of the messages of SQLite's generic error, whose result
// code does not distinguish the causes, to SQLSTATEs.
var messageStates = []struct{ phrase, code string }{
	{"syntax error", "42601"},
	{"incomplete input", "42601"},
	{"unrecognized token", "42601"},
	{"no such table", "42P01"},
	{"no such column", "42703"},
	{"has no column named", "42703"},
	{"no such function", "42883"},
	{"already exists", "42P07"},
	{"values for", "42601"},
}

// translate converts an error to a failure with the matching SQLSTATE.
func translate(err error) *failure {
	var f *failure
	var e *sqlite.Error
	switch {
	case errors.As(err, &f):
		return f
	case errors.Is(err, errNotPrimary):
		return fail("25006", "cannot write: the instance is not the primary of its group, or is quiesced")
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return fail("57014", "canceling statement due to user request")
	case errors.As(err, &e):
		return &failure{code: sqlStateOf(e), message: e.Error()}
	default:
		return fail("XX000", "%v", err)
	}
}

func sqlStateOf(e *sqlite.Error) string {
	switch e.Code() {
	case sqliteUnique, sqlitePrimaryKey, sqliteRowID:
		return "23505"
	case sqliteNotNull:
		return "23502"
	case sqliteCheck:
		return "23514"
	case sqliteForeignKey:
		return "23503"
	case sqliteInterrupt:
		return "57014"
	case sqliteReadOnly:
		return "25006"
	case sqliteTooBig:
		return "54000"
	case sqliteMismatch:
		return "22P02"
	}
	switch e.Code() & 0xff {
	case sqliteBusy:
		return "40001"
	case sqliteConstraint:
		return "23000"
	}
	for _, p := range messageStates {
		if strings.Contains(e.Error(), p.phrase) {
			return p.code
		}
	}
	return "XX000"
}

func (f *failure) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: f.code, Message: f.message}
}

func lower(s string) string { return strings.ToLower(s) }

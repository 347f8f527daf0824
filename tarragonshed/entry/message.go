package entry

import (
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"tarragonshed.example/result"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// errorResponse returns the ErrorResponse for an error with a result code.
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	entry := result.CodeOf(err).Entry()
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                entry.SQLState,
		Message:             err.Error(),
		Detail:              "Outcome: " + string(entry.Outcome) + ".",
	}
}

// sqlError returns an ErrorResponse with an SQLSTATE and message of PostgreSQL.
func sqlError(code, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severityError,
		SeverityUnlocalized: severityError,
		Code:                code,
		Message:             message,
	}
}

// buffers is the pool of buffers for the messages of batches and for responses.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

const maxPooledBuffer = 64 << 10

func takeBuffer() []byte {
	return (*buffers.Get().(*[]byte))[:0]
}

func releaseBuffer(buffer []byte) {
	if cap(buffer) == 0 || cap(buffer) > maxPooledBuffer {
		return
	}
	buffer = buffer[:0]
	buffers.Put(&buffer)
}

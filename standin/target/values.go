package target

import (
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// decode converts a parameter from its wire format to a SQLite value.
func decode(types *pgtype.Map, oid uint32, format int16, src []byte) (any, error) {
	if src == nil {
		return nil, nil
	}
	switch oid {
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID:
		return scan[int64](types, oid, format, src)
	case pgtype.Float8OID, pgtype.Float4OID:
		return scan[float64](types, oid, format, src)
	case pgtype.BoolOID:
		return scan[bool](types, oid, format, src)
	case pgtype.ByteaOID:
		return scan[[]byte](types, oid, format, src)
	case pgtype.TimestamptzOID, pgtype.TimestampOID, pgtype.DateOID:
		v, err := scan[time.Time](types, oid, format, src)
		if err != nil {
			return nil, err
		}
		return v.UTC().Format(timeFormat), nil
	case pgtype.NumericOID:
		v, err := scan[pgtype.Numeric](types, oid, format, src)
		if err != nil {
			return nil, err
		}
		f, err := v.Float64Value()
		return f.Float64, err
	case pgtype.JSONBOID:
		if format == pgtype.BinaryFormatCode && len(src) > 0 {
			src = src[1:]
		}
	}
	return string(src), nil
}

func scan[T any](types *pgtype.Map, oid uint32, format int16, src []byte) (T, error) {
	var v T
	err := types.Scan(oid, format, src, &v)
	return v, err
}

// encode converts a SQLite value to the wire format of a result column.
func encode(types *pgtype.Map, oid uint32, format int16, value any) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	converted, err := convert(oid, value)
	if err != nil {
		return nil, err
	}
	return types.Encode(oid, format, converted, []byte{})
}

// convert converts a SQLite value to the Go type from which the type oid is encoded.
func convert(oid uint32, value any) (any, error) {
	switch oid {
	case pgtype.Int8OID, pgtype.Int4OID:
		switch v := value.(type) {
		case int64:
			return v, nil
		case float64:
			return int64(v), nil
		}
		return strconv.ParseInt(toString(value), 10, 64)
	case pgtype.Float8OID:
		return strconv.ParseFloat(toString(value), 64)
	case pgtype.BoolOID:
		if v, ok := value.(bool); ok {
			return v, nil
		}
		return strconv.ParseBool(toString(value))
	case pgtype.ByteaOID:
		if v, ok := value.([]byte); ok {
			return v, nil
		}
		return []byte(toString(value)), nil
	case pgtype.TimestamptzOID, pgtype.TimestampOID, pgtype.DateOID:
		return timeOf(value)
	case pgtype.NumericOID:
		var n pgtype.Numeric
		err := n.Scan(toString(value))
		return n, err
	default:
		return toString(value), nil
	}
}

func timeOf(value any) (time.Time, error) {
	if v, ok := value.(time.Time); ok {
		return v, nil
	}
	text := toString(value)
	for _, layout := range []string{timeFormat, "2006-01-02 15:04:05", time.RFC3339Nano, "2006-01-02"} {
		if v, err := time.Parse(layout, text); err == nil {
			return v, nil
		}
	}
	return time.Time{}, fmt.Errorf("invalid input syntax for type timestamp: %q", text)
}

func toString(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case []byte:
		return string(v)
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case bool:
		return strconv.FormatBool(v)
	case time.Time:
		return v.UTC().Format(timeFormat)
	default:
		return fmt.Sprint(v)
	}
}

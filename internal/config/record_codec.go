package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// errNotObject is the error for a record's value that is not a JSON object.
var errNotObject = errors.New("want one JSON object")

// encodeRecord returns the canonical JSON of a table, with sorted keys and without white space, so that
// equal tables have equal encodings.
func encodeRecord(values map[string]any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(values); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// decodeRecord decodes the table of a record. Its values have the same types as those of a file.
func decodeRecord(value []byte) (map[string]any, error) {
	d := json.NewDecoder(bytes.NewReader(value))
	d.UseNumber()
	var values map[string]any
	if err := d.Decode(&values); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotObject, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) || values == nil {
		return nil, errNotObject
	}
	return values, convertNumbersIn(values)
}

// convertNumbersIn replaces the numbers in a table, as described at convertNumbers.
func convertNumbersIn(values map[string]any) (err error) {
	for key, value := range values {
		if values[key], err = convertNumbers(value); err != nil {
			return err
		}
	}
	return nil
}

// convertNumbers returns a value with its numbers converted to the types that TOML uses: int64 for integers,
// float64 for others.
func convertNumbers(value any) (_ any, err error) {
	switch v := value.(type) {
	case map[string]any:
		return v, convertNumbersIn(v)
	case []any:
		for i := range v {
			if v[i], err = convertNumbers(v[i]); err != nil {
				return nil, err
			}
		}
		return v, nil
	case json.Number:
		return convertNumber(v)
	default:
		return v, nil
	}
}

func convertNumber(n json.Number) (any, error) {
	if !strings.ContainsAny(n.String(), ".eE") {
		if whole, err := n.Int64(); err == nil {
			return whole, nil
		}
	}
	f, err := n.Float64()
	if err != nil {
		return nil, fmt.Errorf("number %s is out of range: %w", n, err)
	}
	return f, nil
}

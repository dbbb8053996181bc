package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ErrUndecodable means that data is not a well-formed change or snapshot.
var ErrUndecodable = errors.New("undecodable data")

// TooLargeError means that an encoded change exceeds Limits.MaxRecordBytes.
type TooLargeError struct {
	Bytes, Max int
}

// Error returns the sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("record of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Max)
}

// UnknownRuleError means that data was written under rules that this build does not know.
type UnknownRuleError struct {
	Rule uint32
}

// Error returns the rule version.
func (e *UnknownRuleError) Error() string {
	return fmt.Sprintf("rule version %d is unknown to this build, which knows version %d", e.Rule, RuleVersion)
}

// recordMark is the first value of a record under every rule version. Without it a foreign record that happens to start
// with a small number would pass for one of unknown rules and block every reader.
const recordMark = "wf"

// Shape limits of encoded data, checked before it is decoded: the decoder allocates by announced length and
// skips unknown values recursively.
const (
	maxNesting = 10
	// maxChangeElements and maxSnapshotElements limit the elements of one array or map. checkWholeSize keeps every
	// configuration that is published complete within the latter.
	maxChangeElements   = 4096
	maxSnapshotElements = 1 << 16
)

// EncodeChange returns the record data of a change: a mark, the rule version, then the change as a map with sorted
// label keys. A zero Rule is encoded as RuleVersion. The error is a *TooLargeError if the data exceeds the limit.
func EncodeChange(c Change) ([]byte, error) {
	if c.Rule == 0 {
		c.Rule = RuleVersion
	}
	data, err := encode(&c, recordMark, uint64(c.Rule))
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	if len(data) > limits.MaxRecordBytes {
		return nil, &TooLargeError{Bytes: len(data), Max: limits.MaxRecordBytes}
	}
	return data, nil
}

// DecodeChange reads the data of a record. The error is an *UnknownRuleError, a *TooLargeError or wraps
// ErrUndecodable.
func DecodeChange(data []byte) (Change, error) {
	rule, body, err := recordHeader(data)
	if err != nil {
		return Change{}, err
	}
	if rule != RuleVersion {
		return Change{}, &UnknownRuleError{Rule: rule}
	}
	if len(data) > limits.MaxRecordBytes {
		return Change{}, &TooLargeError{Bytes: len(data), Max: limits.MaxRecordBytes}
	}
	c := Change{}
	if err := decode(body, &c, maxChangeElements, true); err != nil {
		return Change{}, err
	}
	c.Rule = rule
	return c, nil
}

// recordHeader returns the rule version of a record and what follows it.
func recordHeader(data []byte) (rule uint32, body []byte, err error) {
	r := bytes.NewReader(data)
	d := msgpack.NewDecoder(r)
	code, err := d.PeekCode()
	if err != nil || !msgpcode.IsFixedString(code) {
		return 0, nil, fmt.Errorf("%w: no mark", ErrUndecodable)
	}
	mark, err := d.DecodeString()
	if err != nil || mark != recordMark {
		return 0, nil, fmt.Errorf("%w: no mark", ErrUndecodable)
	}
	if rule, err = d.DecodeUint32(); err != nil || rule == 0 {
		return 0, nil, fmt.Errorf("%w: no rule version", ErrUndecodable)
	}
	return rule, data[len(data)-r.Len():], nil
}

// encode writes the header values and then the value itself.
func encode(v any, header ...any) ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.SetSortMapKeys(true)
	e.UseCompactInts(true)
	if err := e.EncodeMulti(append(header, v)...); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// decode reads exactly one value. It refuses unknown fields if strict is set.
func decode(data []byte, v any, maxElements int, strict bool) error {
	if err := checkShape(data, maxElements); err != nil {
		return fmt.Errorf("%w: %w", ErrUndecodable, err)
	}
	d := msgpack.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields(strict)
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrUndecodable, err)
	}
	return nil
}

// checkShape returns an error unless data is exactly one map within the shape limits.
func checkShape(data []byte, maxElements int) error {
	if len(data) == 0 || !isMap(data[0]) {
		return errors.New("not a map")
	}
	r := bytes.NewReader(data)
	if err := checkValue(msgpack.NewDecoder(r), 0, maxElements); err != nil {
		return err
	}
	if r.Len() > 0 {
		return fmt.Errorf("%d bytes after the value", r.Len())
	}
	return nil
}

func checkValue(d *msgpack.Decoder, depth, maxElements int) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	var n int
	switch {
	case isMap(code):
		n, err = d.DecodeMapLen()
		n *= 2
	case isArray(code):
		n, err = d.DecodeArrayLen()
	default:
		return d.Skip()
	}
	if err != nil {
		return err
	}
	if depth >= maxNesting || n > maxElements {
		return errors.New("nested too deeply or too many elements")
	}
	for range n {
		if err := checkValue(d, depth+1, maxElements); err != nil {
			return err
		}
	}
	return nil
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

package malformed

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// ErrMissing means that an entry lacks a required field, or that the field is null or empty.
var ErrMissing = errors.New("missing field")

// Decode decodes the JSON object of another writer into a pointer to a struct. Unlike encoding/json, it takes a field only under
// its exact name and rejects an object that holds a name twice. Fields of pointer type are required: ErrMissing names one that is
// absent, null or an empty string. Unknown fields are ignored.
func Decode(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode entry: %w", err)
	}
	return checkRequired(reflect.ValueOf(value).Elem())
}

// Optional is an optional member of an object. Present distinguishes a member that is null or empty from an absent one; the
// value of null is the zero value.
type Optional[T any] struct {
	Present bool
	Value   T
}

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (o *Optional[T]) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	o.Present = true
	return json.UnmarshalDecode(d, &o.Value)
}

// checkRequired returns an error for the first required field of a struct, or of the structs in it, that is not set.
func checkRequired(object reflect.Value) error {
	for i := range object.NumField() {
		name, _, _ := strings.Cut(object.Type().Field(i).Tag.Get("json"), ",")
		field := object.Field(i)
		if field.Kind() == reflect.Struct {
			if err := checkRequired(field); err != nil {
				return err
			}
		}
		if field.Kind() != reflect.Pointer {
			continue
		}
		if field.IsNil() || field.Elem().Kind() == reflect.String && field.Elem().Len() == 0 {
			return fmt.Errorf("%w: %s", ErrMissing, name)
		}
	}
	return nil
}

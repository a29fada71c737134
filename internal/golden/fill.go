package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// filler sets values one after another, each different from the previous one.
type filler struct{ next int }

// Fill sets all exported fields that are reachable from a value, to the same values in each run: slices and maps
// get two elements, and numbers and strings are numbered consecutively.
func Fill[T any](value *T) {
	f := &filler{}
	f.fill(reflect.ValueOf(value).Elem())
}

// maxSmall bounds the numbers, so that they fit into any integer type.
const maxSmall = 100

func (f *filler) number() int {
	f.next++
	return 1 + f.next%maxSmall
}

func (f *filler) fill(value reflect.Value) {
	switch value.Interface().(type) {
	case time.Time:
		value.Set(reflect.ValueOf(time.Unix(int64(f.number()), 0).UTC()))
		return
	case json.RawMessage:
		value.Set(reflect.ValueOf(json.RawMessage(fmt.Sprintf(`{"raw":%d}`, f.number()))))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.number()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.number()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.number()) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", f.number()))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		f.fillElements(value)
	case reflect.Array:
		f.fillElements(value)
	case reflect.Map:
		f.fillMap(value)
	case reflect.Struct:
		f.fillStruct(value)
	default:
		panic(fmt.Sprintf("golden: cannot fill a value of type %s", value.Type()))
	}
}

func (f *filler) fillElements(value reflect.Value) {
	for i := range value.Len() {
		f.fill(value.Index(i))
	}
}

func (f *filler) fillMap(value reflect.Value) {
	value.Set(reflect.MakeMap(value.Type()))
	for range 2 {
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		f.fill(key)
		f.fill(element)
		value.SetMapIndex(key, element)
	}
}

func (f *filler) fillStruct(value reflect.Value) {
	for i := range value.NumField() {
		if value.Type().Field(i).IsExported() {
			f.fill(value.Field(i))
		}
	}
}

package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// filler sets values one after another, each unlike the one before.
type filler struct{ next int }

// Fill sets all exported fields that a value reaches, the same in each run: slices and maps get two
// elements, numbers and texts count up.
func Fill[T any](value *T) {
	f := &filler{}
	f.fill(reflect.ValueOf(value).Elem())
}

// maxSmall keeps numbers within any integer type.
const maxSmall = 100

func (f *filler) number() int {
	f.next++
	return 1 + f.next%maxSmall
}

func (f *filler) fill(v reflect.Value) {
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(int64(f.number()), 0).UTC()))
		return
	case json.RawMessage:
		v.Set(reflect.ValueOf(json.RawMessage(fmt.Sprintf(`{"raw":%d}`, f.number()))))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.number()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.number()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.number()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.number()))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map:
		f.fillMap(v)
	case reflect.Struct:
		f.fillStruct(v)
	default:
		panic(fmt.Sprintf("golden: a value of type %s cannot be filled", v.Type()))
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

func (f *filler) fillMap(v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	for range 2 {
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(element)
		v.SetMapIndex(key, element)
	}
}

func (f *filler) fillStruct(v reflect.Value) {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			f.fill(v.Field(i))
		}
	}
}

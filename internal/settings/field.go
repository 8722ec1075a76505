package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Field describes one setting for help texts and tables.
type Field struct {
	// Section is the first part of the key, such as "peers".
	Section string
	// Key is the dotted key, such as "peers.listen". It is also the flag's name.
	Key string
	// Help is one line of plain text.
	Help string
	// Default is the default value as text, or empty.
	Default string
	// index locates the value within Settings.
	index []int
}

// Fields returns every setting in the order of the struct.
func Fields() []Field {
	var fields []Field
	defaults := Defaults()
	root := reflect.TypeFor[Settings]()
	for i := range root.NumField() {
		section := root.Field(i)
		for j := range section.Type.NumField() {
			member := section.Type.Field(j)
			field := Field{
				Section: section.Tag.Get("yaml"),
				Key:     section.Tag.Get("yaml") + "." + member.Tag.Get("yaml"),
				Help:    member.Tag.Get("help"),
				index:   []int{i, j},
			}
			field.Default = field.Text(&defaults)
			fields = append(fields, field)
		}
	}
	return fields
}

// Text returns the field's value in settings, as it is written in a settings file.
func (f Field) Text(settings *Settings) string {
	value := f.value(settings)
	if duration, ok := value.Interface().(time.Duration); ok && duration == 0 {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

func (f Field) value(settings *Settings) reflect.Value {
	return reflect.ValueOf(settings).Elem().FieldByIndex(f.index)
}

// set parses text into the field. Its error names the expected format.
func (f Field) set(settings *Settings, text string) error {
	target := f.value(settings)
	switch target.Interface().(type) {
	case string:
		target.SetString(text)
	case time.Duration:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration: write a number with a unit, such as 500ms, 5s or 2m", text)
		}
		target.SetInt(int64(duration))
	case int, int64:
		number, err := strconv.ParseInt(text, 10, target.Type().Bits())
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		target.SetInt(number)
	case bool:
		enabled, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		target.SetBool(enabled)
	case float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		target.SetFloat(number)
	default:
		panic("settings: no parser for the type of " + f.Key)
	}
	return nil
}

// fieldIndex finds fields by key and lists the sections and their keys in order.
type fieldIndex struct {
	byKey    map[string]Field
	sections []string
	names    map[string][]string // by section
}

func newFieldIndex() fieldIndex {
	index := fieldIndex{byKey: map[string]Field{}, names: map[string][]string{}}
	for _, field := range Fields() {
		if _, known := index.names[field.Section]; !known {
			index.sections = append(index.sections, field.Section)
		}
		name := strings.TrimPrefix(field.Key, field.Section+".")
		index.names[field.Section] = append(index.names[field.Section], name)
		index.byKey[field.Key] = field
	}
	return index
}

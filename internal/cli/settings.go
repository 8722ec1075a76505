package cli

import (
	"fmt"
	"io"
	"reflect"

	"github.com/jessevdk/go-flags"

	"github.com/winchhead/winchhead/internal/settings"
)

const settingsHelp = `Prints each effective setting with its origin: the default, the line of the settings file, or a flag. Exit codes: 0 the settings are right, 2 they are not.`

// settingsFlags are the settings file and one flag for each key.
type settingsFlags struct {
	File string              `long:"settings" env:"WINCHHEAD_SETTINGS" value-name:"FILE" description:"settings file (YAML)"`
	keys map[string]**string // by dotted key; the inner pointer is nil if the flag is not set
}

func (s *settingsFlags) load() (*settings.Loaded, error) {
	overrides := settings.Overrides{}
	for key, value := range s.keys {
		if *value != nil {
			overrides[key] = **value
		}
	}
	return settings.Load(s.File, overrides)
}

// addSettingsFlags adds a flag for each setting, grouped by section.
func addSettingsFlags(command *flags.Command, target *settingsFlags) error {
	target.keys = map[string]**string{}
	bySection := map[string][]settings.Field{}
	var sections []string
	for _, field := range settings.Fields() {
		if len(bySection[field.Section]) == 0 {
			sections = append(sections, field.Section)
		}
		bySection[field.Section] = append(bySection[field.Section], field)
	}
	for _, section := range sections {
		group := newFlagGroup(bySection[section], target.keys)
		if _, err := command.AddGroup("Overrides of "+section, "", group); err != nil {
			return err
		}
	}
	return nil
}

// newFlagGroup builds the struct from which go-flags reads the flags, with one optional
// string for each field, and stores pointers to these strings in keys.
func newFlagGroup(fields []settings.Field, keys map[string]**string) any {
	var members []reflect.StructField
	for i, field := range fields {
		members = append(members, reflect.StructField{
			Name: fmt.Sprintf("Key%d", i),
			Type: reflect.TypeFor[*string](),
			Tag:  flagTag(field),
		})
	}
	group := reflect.New(reflect.StructOf(members))
	for i, field := range fields {
		keys[field.Key] = group.Elem().Field(i).Addr().Interface().(**string)
	}
	return group.Interface()
}

func flagTag(field settings.Field) reflect.StructTag {
	description := field.Help
	if field.Default != "" {
		description += " (default: " + field.Default + ")"
	}
	return reflect.StructTag(fmt.Sprintf("long:%q value-name:%q description:%q", field.Key, "VALUE", description))
}

type settingsCommand struct {
	environment
	settingsFlags
	outputFlags
}

// settingRow is one setting in the output.
type settingRow struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Origin string `json:"origin"`
}

// Execute prints the effective settings.
func (c *settingsCommand) Execute([]string) error {
	loaded, err := c.load()
	if err != nil {
		return err
	}
	var rows []settingRow
	for _, field := range settings.Fields() {
		rows = append(rows, settingRow{
			Key:    field.Key,
			Value:  field.Text(&loaded.Settings),
			Origin: loaded.Origin(field.Key).String(),
		})
	}
	return c.print(c.stdout, rows, func(out io.Writer) {
		lines := newTable(out, "KEY", "VALUE", "ORIGIN")
		for _, row := range rows {
			lines.row(row.Key, row.Value, row.Origin)
		}
		lines.flush()
	})
}

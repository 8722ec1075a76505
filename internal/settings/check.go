package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// check returns the first fault in the settings, by the order of the struct,
// without its place.
func check(settings *Settings) *Error {
	var faults validator.ValidationErrors
	if err := newValidator().Struct(settings); errors.As(err, &faults) {
		return describe(faults[0])
	}
	return checkAdvertised(settings)
}

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	isAddress := func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	}
	if err := validate.RegisterValidation("address", isAddress); err != nil {
		panic(err)
	}
	return validate
}

func describe(fault validator.FieldError) *Error {
	_, key, _ := strings.Cut(fault.Namespace(), ".")
	return &Error{Key: key, Problem: describeRule(fault, key)}
}

func describeRule(fault validator.FieldError, key string) string {
	value := fmt.Sprint(fault.Value())
	switch fault.Tag() {
	case "required":
		return "missing: set it in the settings file or with --" + key
	case "required_with":
		section, _, _ := strings.Cut(key, ".")
		if section == "inbound" {
			return "missing: a node with inbound.service needs it"
		}
		return "missing: the keys of tls are set all together or not at all"
	case "address":
		return fmt.Sprintf("%q is no address: write IP:port, such as 127.0.0.1:7000", value)
	case "http_url":
		return fmt.Sprintf("%q is no URL: write such as http://127.0.0.1:7000", value)
	case "oneof":
		return fmt.Sprintf("%q is not known: write %s", value, strings.ReplaceAll(fault.Param(), " ", " or "))
	case "startswith":
		return fmt.Sprintf("%q is no path: start it with %s", value, fault.Param())
	case "gt":
		return value + " is too small: write more than " + fault.Param()
	case "min":
		return value + " is too small: write at least " + fault.Param()
	case "max":
		return value + " is too large: write at most " + fault.Param()
	default:
		return fmt.Sprintf("%q breaks the rule %s %s", value, fault.Tag(), fault.Param())
	}
}

// checkAdvertised refuses addresses that other nodes could not connect to.
func checkAdvertised(settings *Settings) *Error {
	pairs := []struct{ key, listen, advertise string }{
		{"peers.advertise", settings.Peers.Listen, settings.Peers.Advertise},
		{"inbound.advertise", settings.Inbound.Listen, settings.Inbound.Advertise},
	}
	for _, pair := range pairs {
		if pair.advertise == "" && listensEverywhere(pair.listen) {
			return &Error{Key: pair.key, Problem: "missing: the node listens on all addresses, so say which one other nodes connect to"}
		}
		if pair.advertise != "" && listensEverywhere(pair.advertise) {
			return &Error{Key: pair.key, Problem: fmt.Sprintf("%q is no address that other nodes can connect to", pair.advertise)}
		}
	}
	return nil
}

func listensEverywhere(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}

package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// check returns the first error in the settings, in the order of the struct,
// without its location.
func check(settings *Settings) *Error {
	var failures validator.ValidationErrors
	if err := newValidator().Struct(settings); errors.As(err, &failures) {
		return describe(failures[0])
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

func describe(failure validator.FieldError) *Error {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	return &Error{Key: key, Problem: describeRule(failure, key)}
}

func describeRule(failure validator.FieldError, key string) string {
	value := fmt.Sprint(failure.Value())
	switch failure.Tag() {
	case "required":
		return "missing: set it in the settings file or with --" + key
	case "required_with":
		section, _, _ := strings.Cut(key, ".")
		if section == "inbound" {
			return "missing: a node with inbound.service needs it"
		}
		return "missing: set all keys of tls or none of them"
	case "address":
		return fmt.Sprintf("%q is not an address: write IP:port, such as 127.0.0.1:7000", value)
	case "http_url":
		return fmt.Sprintf("%q is not a URL: write one such as http://127.0.0.1:7000", value)
	case "oneof":
		return fmt.Sprintf("%q is not a known value: write %s", value, strings.ReplaceAll(failure.Param(), " ", " or "))
	case "startswith":
		return fmt.Sprintf("%q is not a path: start it with %s", value, failure.Param())
	case "gt":
		return value + " is too small: write more than " + failure.Param()
	case "min":
		return value + " is too small: write at least " + failure.Param()
	case "max":
		return value + " is too large: write at most " + failure.Param()
	default:
		return fmt.Sprintf("%q violates the rule %s %s", value, failure.Tag(), failure.Param())
	}
}

// checkAdvertised rejects unspecified addresses, such as 0.0.0.0, to which other nodes
// could not connect.
func checkAdvertised(settings *Settings) *Error {
	pairs := []struct{ key, listen, advertise string }{
		{"peers.advertise", settings.Peers.Listen, settings.Peers.Advertise},
		{"inbound.advertise", settings.Inbound.Listen, settings.Inbound.Advertise},
	}
	for _, pair := range pairs {
		if pair.advertise == "" && isUnspecified(pair.listen) {
			return &Error{Key: pair.key, Problem: "missing: the node listens on all addresses, so name the one that other nodes connect to"}
		}
		if pair.advertise != "" && isUnspecified(pair.advertise) {
			return &Error{Key: pair.key, Problem: fmt.Sprintf("%q is not an address that other nodes can connect to", pair.advertise)}
		}
	}
	return nil
}

func isUnspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}

package settings

import (
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"gopkg.in/ini.v1"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("settings")
	// ErrInvalid says that a key is unknown, is missing or has a value that is not allowed. The
	// text names section and key of every problem in the file.
	ErrInvalid = namespace.NewType("invalid")
	// ErrUnreadable says that the file can't be read or is not in INI format.
	ErrUnreadable = namespace.NewType("unreadable")
)

// Load reads and checks the daemon's settings from a file. It returns [ErrUnreadable] or
// [ErrInvalid].
func Load(file string) (*Settings, error) { return load[Settings](file) }

// LoadFront reads and checks the settings of an instance that forwards from a file. It returns
// [ErrUnreadable] or [ErrInvalid].
func LoadFront(file string) (*Front, error) { return load[Front](file) }

// ParseFront is [LoadFront] on the text of a file.
func ParseFront(text []byte) (*Front, error) { return load[Front](text) }

// Parse is [Load] on the text of a file.
func Parse(text []byte) (*Settings, error) { return load[Settings](text) }

// validator is a pointer to a settings struct that can check its keys against each other.
type validator[T any] interface {
	*T
	// contradictions returns an error text for each pair of keys whose values exclude each other.
	contradictions() []string
}

func load[T any, P validator[T]](source any) (*T, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, source)
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "can't read the settings")
	}
	s := new(T)
	var problems []string
	known := map[string]bool{ini.DefaultSection: true}
	eachSection(s, func(name string, section reflect.Value) {
		known[name] = true
		problems = append(problems, loadSection(f.Section(name), name, section)...)
	})
	for _, section := range f.Sections() {
		if !known[section.Name()] {
			problems = append(problems, fmt.Sprintf("[%s]: unknown section", section.Name()))
		}
	}
	for _, k := range f.Section(ini.DefaultSection).Keys() {
		problems = append(problems, fmt.Sprintf("%s: key outside any section", k.Name()))
	}
	problems = append(problems, P(s).contradictions()...)
	if len(problems) > 0 {
		return nil, ErrInvalid.New("%s", strings.Join(problems, "; "))
	}
	return s, nil
}

func eachSection(s any, visit func(string, reflect.Value)) {
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		visit(v.Type().Field(i).Tag.Get("ini"), v.Field(i))
	}
}

func loadSection(section *ini.Section, name string, v reflect.Value) []string {
	var problems []string
	known := map[string]bool{}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := field.Tag.Get("ini")
		known[key] = true
		text := field.Tag.Get("default")
		if section.HasKey(key) {
			text = section.Key(key).String()
		}
		if err := setField(v.Field(i), field.Tag, text); err != nil {
			problems = append(problems, fmt.Sprintf("[%s] %s: %v", name, key, err))
		}
	}
	for _, k := range section.Keys() {
		if !known[k.Name()] {
			problems = append(problems, fmt.Sprintf("[%s] %s: unknown key", name, k.Name()))
		}
	}
	return problems
}

func setField(v reflect.Value, tag reflect.StructTag, text string) error {
	if text == "" && tag.Get("required") != "" {
		return fmt.Errorf("is required: %s", tag.Get("doc"))
	}
	if err := parseInto(v, text); err != nil {
		return err
	}
	if err := checkMin(v, tag.Get("min")); err != nil {
		return err
	}
	if check := checks[tag.Get("check")]; check != nil {
		return check(text)
	}
	return nil
}

var durationType = reflect.TypeFor[time.Duration]()

func parseInto(v reflect.Value, text string) error {
	switch {
	case v.Type() == durationType:
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is no duration (such as 250ms or 2s)", text)
		}
		v.SetInt(int64(d))
	case v.Kind() == reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is no whole number", text)
		}
		v.SetInt(int64(n))
	case v.Kind() == reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is no number", text)
		}
		v.SetFloat(f)
	case v.Kind() == reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(b)
	case v.Kind() == reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
	default:
		v.SetString(text)
	}
	return nil
}

func splitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func checkMin(v reflect.Value, minimum string) error {
	if minimum == "" {
		return nil
	}
	bound := reflect.New(v.Type()).Elem()
	if err := parseInto(bound, minimum); err != nil {
		return err
	}
	tooSmall := v.CanInt() && v.Int() < bound.Int() || v.CanFloat() && !(v.Float() >= bound.Float())
	if tooSmall {
		return fmt.Errorf("must be at least %s", minimum)
	}
	return nil
}

// Print writes all keys with their documentation and defaults in INI format. The output is a
// template for a settings file.
func Print(w io.Writer) { printAll(w, &Settings{}) }

// PrintFront is [Print] for the settings of an instance that forwards.
func PrintFront(w io.Writer) { printAll(w, &Front{}) }

func printAll(w io.Writer, s any) {
	eachSection(s, func(name string, section reflect.Value) {
		_, _ = fmt.Fprintf(w, "[%s]\n", name)
		for i := range section.NumField() {
			printKey(w, section.Type().Field(i))
		}
		_, _ = fmt.Fprintln(w)
	})
}

func printKey(w io.Writer, f reflect.StructField) {
	kind := f.Type.String()
	switch f.Type {
	case durationType:
		kind = "duration"
	case reflect.TypeFor[[]string]():
		kind = "list, separated by commas"
	}
	required := ""
	if f.Tag.Get("required") != "" {
		required = ", required"
	}
	_, _ = fmt.Fprintf(w, "; %s (%s%s)\n%s = %s\n", f.Tag.Get("doc"), kind, required, f.Tag.Get("ini"), f.Tag.Get("default"))
}

// Package yamlfile decodes a YAML file strictly into a struct and reports every
// fault with its file, line and field, so that an operator can correct all of
// them at once.
//
//	faults := yamlfile.Decode("fleet.yaml", data, &config)
//
// Faults are found in three passes. The first parses the text. The second
// compares the syntax tree with the struct type and finds unknown fields. The
// third decodes the data and applies the struct's validate tags.
package yamlfile

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one error in a file.
type Fault struct {
	File  string // File is the path as given by the caller.
	Line  int    // Line counts from 1; 0 stands for the whole file.
	Field string // Field is the path of the field, such as "limits.body_bytes".
	What  string // What describes the fault to an operator.
}

// Error formats the fault on one line.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.What)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.What)
}

// Document is a parsed file that maps field paths to lines.
type Document struct {
	file string
	root ast.Node
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// newValidator returns a validator that reports fields by their YAML names and
// supports the custom rules name, ipport, dmin and dmax. The last two bound a
// duration.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return yamlName(f) })
	mustRegister(v, "name", func(fl validator.FieldLevel) bool {
		return namePattern.MatchString(fl.Field().String())
	})
	mustRegister(v, "ipport", func(fl validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(fl.Field().String())
		return err == nil
	})
	mustRegister(v, "dmin", func(fl validator.FieldLevel) bool {
		return compareDuration(fl) >= 0
	})
	mustRegister(v, "dmax", func(fl validator.FieldLevel) bool {
		return compareDuration(fl) <= 0
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err)
	}
}

func compareDuration(fl validator.FieldLevel) int {
	bound, err := time.ParseDuration(fl.Param())
	if err != nil {
		panic(err)
	}
	d := time.Duration(fl.Field().Int())
	switch {
	case d < bound:
		return -1
	case d > bound:
		return 1
	}
	return 0
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// Decode decodes data strictly into dst, a pointer to a struct, and returns the
// faults ordered by line. The document is nil if the text is not valid YAML or
// holds more than one document.
func Decode(file string, data []byte, dst any) (*Document, []Fault) {
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, []Fault{syntaxFault(file, err)}
	}
	if len(parsed.Docs) > 1 {
		return nil, []Fault{{File: file, Line: 1, What: "more than one YAML document"}}
	}
	doc := &Document{file: file}
	if len(parsed.Docs) == 1 {
		doc.root = parsed.Docs[0].Body
	}
	if doc.isEmpty() { // Decoding an empty document would reset every default to zero.
		return doc, sortByLine(doc.validate(dst))
	}
	faults := doc.unknownFields(doc.root, reflect.TypeOf(dst).Elem(), "")
	if err := yaml.Unmarshal(data, dst); err != nil {
		return doc, sortByLine(append(faults, doc.typeFault(err)))
	}
	return doc, sortByLine(append(faults, doc.validate(dst)...))
}

func syntaxFault(file string, err error) Fault {
	var located yaml.Error
	if errors.As(err, &located) {
		line := 0
		if tk := located.GetToken(); tk != nil {
			line = tk.Position.Line
		}
		return Fault{File: file, Line: line, What: located.GetMessage()}
	}
	return Fault{File: file, Line: 1, What: strings.SplitN(err.Error(), "\n", 2)[0]}
}

func (d *Document) isEmpty() bool {
	if d.root == nil {
		return true
	}
	_, null := d.root.(*ast.NullNode)
	return null
}

// typeFault returns the fault for a value that could not be decoded, with the
// path of its field.
func (d *Document) typeFault(err error) Fault {
	f := syntaxFault(d.file, err)
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		at := located.GetToken().Position
		f.Field = d.pathAt(d.root, at.Line, at.Column, "")
	}
	return f
}

// pathAt returns the path of the value at a line and column, or "".
func (d *Document) pathAt(node ast.Node, line, column int, path string) string {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			if found := d.pathAt(v, line, column, path); found != "" {
				return found
			}
		}
	case *ast.MappingValueNode:
		return d.pathAt(n.Value, line, column, joinPath(path, n.Key.GetToken().Value))
	case *ast.SequenceNode:
		for i, v := range n.Values {
			if found := d.pathAt(v, line, column, fmt.Sprintf("%s[%d]", path, i)); found != "" {
				return found
			}
		}
	}
	if at := node.GetToken().Position; at.Line == line && at.Column == column {
		return path
	}
	return ""
}

// unknownFields returns a fault for each field below node that t, the type it is
// decoded into, does not have.
func (d *Document) unknownFields(node ast.Node, t reflect.Type, path string) []Fault {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch n := node.(type) {
	case *ast.MappingNode:
		return d.unknownKeys(n.Values, t, path)
	case *ast.MappingValueNode:
		return d.unknownKeys([]*ast.MappingValueNode{n}, t, path)
	case *ast.SequenceNode:
		return d.unknownItems(n, t, path)
	}
	return nil
}

func (d *Document) unknownKeys(values []*ast.MappingValueNode, t reflect.Type, path string) []Fault {
	if t.Kind() != reflect.Struct {
		return nil
	}
	var faults []Fault
	for _, value := range values {
		name := value.Key.GetToken().Value
		field, ok := fieldByYAMLName(t, name)
		if !ok {
			faults = append(faults, Fault{File: d.file, Line: value.Key.GetToken().Position.Line, Field: joinPath(path, name), What: "unknown field"})
			continue
		}
		faults = append(faults, d.unknownFields(value.Value, field.Type, joinPath(path, name))...)
	}
	return faults
}

func (d *Document) unknownItems(n *ast.SequenceNode, t reflect.Type, path string) []Fault {
	if t.Kind() != reflect.Slice {
		return nil
	}
	var faults []Fault
	for i, item := range n.Values {
		faults = append(faults, d.unknownFields(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return faults
}

func fieldByYAMLName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); yamlName(f) == name && name != "" {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *Document) validate(dst any) []Fault {
	err := newValidator().Struct(dst)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	var faults []Fault
	for _, fe := range invalid {
		_, path, _ := strings.Cut(fe.Namespace(), ".")
		faults = append(faults, d.Fault(path, ruleText(fe)))
	}
	return faults
}

var ruleTexts = map[string]string{
	"required":    "is missing",
	"name":        "is not a name: up to 63 letters, digits, dots, dashes and underscores",
	"ipport":      "is not an IP number with a port, such as 127.0.0.1:8080",
	"hexadecimal": "is not hexadecimal",
	"lowercase":   "is not in lower case",
}

func ruleText(fe validator.FieldError) string {
	if text, ok := ruleTexts[fe.Tag()]; ok {
		return text
	}
	switch fe.Tag() {
	case "min", "dmin":
		return fmt.Sprintf("is %v, below the least value %s", fe.Value(), fe.Param())
	case "max", "dmax":
		return fmt.Sprintf("is %v, above the greatest value %s", fe.Value(), fe.Param())
	case "oneof":
		return fmt.Sprintf("is %q, not one of: %s", fe.Value(), fe.Param())
	}
	return fmt.Sprintf("breaks the rule %s %s", fe.Tag(), fe.Param())
}

// Fault returns a fault at the field with the given path. Its line is that of
// the field, or of the nearest parent present in the file.
func (d *Document) Fault(path, what string) Fault {
	return Fault{File: d.file, Line: d.lineOf(path), Field: path, What: what}
}

func (d *Document) lineOf(path string) int {
	for p := path; p != ""; p = parentPath(p) {
		if node := d.nodeAt(p); node != nil {
			return node.GetToken().Position.Line
		}
	}
	return 1
}

func (d *Document) nodeAt(path string) ast.Node {
	if d.root == nil {
		return nil
	}
	yp, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	node, err := yp.FilterNode(d.root)
	if err != nil || node == nil {
		return nil
	}
	return locationNode(node)
}

// locationNode returns the node whose position is reported for node. For a
// mapping this is the first key, because the position of the mapping itself is
// that of the colon.
func locationNode(node ast.Node) ast.Node {
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return n.Values[0].Key
		}
	case *ast.MappingValueNode:
		return n.Key
	}
	return node
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func sortByLine(faults []Fault) []Fault {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}

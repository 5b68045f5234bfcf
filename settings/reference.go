package settings

import (
	"embed"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"time"
)

// sources holds the source files of this package: the reference is generated from
// the comments on fields and defaults, so that it always agrees with them.
//
//go:embed settings.go defaults.go node.go
var sources embed.FS

// Reference renders all settings with their default, bounds and meaning as Markdown.
// docs/SETTINGS.md is its output.
func Reference() (string, error) {
	r := &reference{structs: map[string]*ast.StructType{}, comments: map[string]string{}, defaults: map[string]string{}}
	for _, file := range []string{"settings.go", "defaults.go", "node.go"} {
		if err := r.parse(file); err != nil {
			return "", err
		}
	}
	r.out.WriteString(tableHeader)
	r.writeRows("", "Settings", reflect.ValueOf(New()).Elem())
	r.out.WriteString("\n## The roles gateway and control\n\nEach process has its own file, `weldstreamd ROLE -settings FILE`.\n\n" + tableHeader)
	r.writeRows("", "Node", reflect.ValueOf(NewNode()).Elem())
	return r.out.String(), nil
}

const tableHeader = "| setting | default | bounds | meaning |\n| --- | --- | --- | --- |\n"

// reference collects what it needs from the sources, and the rendered text.
type reference struct {
	structs  map[string]*ast.StructType
	comments map[string]string // comments holds the comments of the default constants, by name of the constant.
	defaults map[string]string // defaults maps STRUCT.FIELD to the name of the constant with its default.
	out      strings.Builder
}

func (r *reference) parse(file string) error {
	data, err := sources.ReadFile(file)
	if err != nil {
		return err
	}
	tree, err := parser.ParseFile(token.NewFileSet(), file, data, parser.ParseComments)
	if err != nil {
		return err
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.TypeSpec:
			if s, ok := n.Type.(*ast.StructType); ok {
				r.structs[n.Name.Name] = s
			}
		case *ast.ValueSpec:
			r.comments[n.Names[0].Name] = strings.TrimSpace(n.Comment.Text())
		case *ast.CompositeLit:
			r.recordDefaults(n)
		}
		return true
	})
	return nil
}

// recordDefaults records which constants are the defaults of a struct's fields.
func (r *reference) recordDefaults(lit *ast.CompositeLit) {
	name, ok := lit.Type.(*ast.Ident)
	if !ok {
		return
	}
	for _, el := range lit.Elts {
		kv, ok := el.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		key, isKey := kv.Key.(*ast.Ident)
		value, isValue := kv.Value.(*ast.Ident)
		if isKey && isValue {
			r.defaults[name.Name+"."+key.Name] = value.Name
		}
	}
}

// writeRows writes a table row for each field of a struct, including nested structs.
func (r *reference) writeRows(prefix, name string, v reflect.Value) {
	for i, f := range r.structs[name].Fields.List {
		field := v.Type().Field(i)
		path := prefix + strings.Split(field.Tag.Get("yaml"), ",")[0]
		inner := field.Type
		if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			r.writeRows(path+"[].", inner.Elem().Name(), reflect.New(inner.Elem()).Elem())
			continue
		}
		if inner.Kind() == reflect.Struct {
			r.writeRows(path+".", inner.Name(), v.Field(i))
			continue
		}
		fmt.Fprintf(&r.out, "| `%s` | %s | %s | %s |\n", path, defaultText(v.Field(i)), bounds(field.Tag.Get("validate")), r.meaning(name, f))
	}
}

// meaning returns the comment of the field's default, or else that of the field.
func (r *reference) meaning(name string, f *ast.Field) string {
	if comment := r.comments[r.defaults[name+"."+f.Names[0].Name]]; comment != "" {
		return comment
	}
	text := strings.TrimSpace(f.Comment.Text() + f.Doc.Text())
	text = strings.ReplaceAll(text, "\n", " ")
	_, text, _ = strings.Cut(text, " ") // The comment starts with the name of the field.
	text = strings.TrimPrefix(strings.TrimPrefix(text, "is "), "are ")
	return strings.TrimSuffix(text, ".")
}

func defaultText(v reflect.Value) string {
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	if v.IsZero() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

// bounds renders a validate tag as readable text.
func bounds(tag string) string {
	var parts []string
	for _, rule := range strings.Split(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		switch name {
		case "dmin", "min":
			parts = append(parts, "from "+value)
		case "dmax", "max":
			parts = append(parts, "to "+value)
		case "len":
			parts = append(parts, "length "+value)
		case "oneof":
			parts = append(parts, "one of "+value)
		case "ip":
			parts = append(parts, "IP")
		case "ipport":
			parts = append(parts, "IP:port")
		case "required":
			parts = append(parts, "must be given")
		}
	}
	return strings.Join(parts, ", ")
}

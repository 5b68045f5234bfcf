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

// sources are this package's own files: the reference is made from the
// comments beside the fields and the defaults, so that it cannot differ.
//
//go:embed settings.go defaults.go node.go
var sources embed.FS

// Reference renders every setting, with its default, its bounds and what it
// means, as Markdown. docs/SETTINGS.md is its output.
func Reference() (string, error) {
	r := &reference{structs: map[string]*ast.StructType{}, notes: map[string]string{}, uses: map[string]string{}}
	for _, file := range []string{"settings.go", "defaults.go", "node.go"} {
		if err := r.read(file); err != nil {
			return "", err
		}
	}
	r.out.WriteString(tableHead)
	r.rows("", "Settings", reflect.ValueOf(New()).Elem())
	r.out.WriteString("\n## The roles gateway and control\n\nOne file a process, `weldstreamd ROLE -settings FILE`.\n\n" + tableHead)
	r.rows("", "Node", reflect.ValueOf(NewNode()).Elem())
	return r.out.String(), nil
}

const tableHead = "| setting | default | bounds | meaning |\n| --- | --- | --- | --- |\n"

// reference gathers what the sources say.
type reference struct {
	structs map[string]*ast.StructType
	notes   map[string]string // notes are the comments of the defaults, by constant.
	uses    map[string]string // uses are the constants by struct and field.
	out     strings.Builder
}

func (r *reference) read(file string) error {
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
			r.notes[n.Names[0].Name] = strings.TrimSpace(n.Comment.Text())
		case *ast.CompositeLit:
			r.literal(n)
		}
		return true
	})
	return nil
}

// literal notes which constants are the defaults of a struct's fields.
func (r *reference) literal(lit *ast.CompositeLit) {
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
			r.uses[name.Name+"."+key.Name] = value.Name
		}
	}
}

// rows renders the fields of one struct, and of those inside it.
func (r *reference) rows(prefix, name string, v reflect.Value) {
	for i, f := range r.structs[name].Fields.List {
		field := v.Type().Field(i)
		path := prefix + strings.Split(field.Tag.Get("yaml"), ",")[0]
		inner := field.Type
		if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			r.rows(path+"[].", inner.Elem().Name(), reflect.New(inner.Elem()).Elem())
			continue
		}
		if inner.Kind() == reflect.Struct {
			r.rows(path+".", inner.Name(), v.Field(i))
			continue
		}
		fmt.Fprintf(&r.out, "| `%s` | %s | %s | %s |\n", path, defaultText(v.Field(i)), bounds(field.Tag.Get("validate")), r.meaning(name, f))
	}
}

// meaning is the comment beside the default, else the field's own.
func (r *reference) meaning(name string, f *ast.Field) string {
	if note := r.notes[r.uses[name+"."+f.Names[0].Name]]; note != "" {
		return note
	}
	text := strings.TrimSpace(f.Comment.Text() + f.Doc.Text())
	text = strings.ReplaceAll(text, "\n", " ")
	_, text, _ = strings.Cut(text, " ") // The comment begins with the field's name.
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

// bounds renders a validate tag for a person.
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

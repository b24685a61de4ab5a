package routing

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func manyRoutes(n int) *Config {
	out := &Config{Version: 3, Services: []Service{{Name: "a"}}, KeysRequired: true}
	for i := range n {
		r := route(fmt.Sprint("r", i), "h.example", fmt.Sprintf("/%x/", 7919*i))
		r.Timeout = time.Duration(i) * time.Second
		out.Routes = append(out.Routes, r)
		out.Customers = append(out.Customers, Customer{Name: fmt.Sprint("c", i), Keys: []string{fmt.Sprint("k", i)}})
	}
	return out
}

func partsOf(t *testing.T, c *Config) []Part {
	t.Helper()
	parts, err := c.Parts()
	if err != nil {
		t.Fatal(err)
	}
	return parts
}

// fillNonZero sets every field to a value other than its zero value.
func fillNonZero(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillNonZero(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fillNonZero(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillNonZero(v.Index(0))
		fillNonZero(v.Index(1))
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Uint8:
		v.SetUint(1)
	default:
		v.SetInt(7)
	}
}

// Guards against a field of a configuration that is lost between instances because it is not
// encoded.
func TestPartsHoldEveryField(t *testing.T) {
	want := new(Config)
	fillNonZero(reflect.ValueOf(want).Elem())
	zero := 0
	want.Customers[1].Priority = &zero
	got, err := new(Assembler).Assemble(want.Version, partsOf(t, want))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against borders that shift with a change: all parts would differ and be sent again.
func TestSmallChangeKeepsMostParts(t *testing.T) {
	const routes = 2000
	changes := map[string]struct {
		change func(*Config)
		most   int // parts that differ
	}{
		"one route":     {func(c *Config) { c.Routes[700].Timeout++ }, 1},
		"first removed": {func(c *Config) { c.Routes = c.Routes[1:] }, 2},
		"one in between": {func(c *Config) {
			c.Routes = append(c.Routes[:9:9], append([]Route{route("new", "h", "/new/")}, c.Routes[9:]...)...)
		}, 2},
		"100 at the end":  {func(c *Config) { c.Routes = append(c.Routes, manyRoutes(2100).Routes[2000:]...) }, 8},
		"a customer":      {func(c *Config) { c.Customers[5].Keys = nil }, 1},
		"a service":       {func(c *Config) { c.Services = append(c.Services, Service{Name: "b"}) }, 1},
		"the version":     {func(c *Config) { c.Version++ }, 0},
		"nothing":         {func(*Config) {}, 0},
		"half is removed": {func(c *Config) { c.Routes = c.Routes[:routes/2] }, 1},
	}
	held := map[string]bool{}
	before := partsOf(t, manyRoutes(routes))
	for _, part := range before {
		held[string(part.Data)] = true
	}
	if len(before) < 2*routes/meanPartItems/2 {
		t.Fatalf("%d parts", len(before))
	}
	for name, c := range changes {
		config := manyRoutes(routes)
		c.change(config)
		fresh := 0
		for _, part := range partsOf(t, config) {
			if !held[string(part.Data)] {
				fresh++
			}
		}
		if fresh > c.most {
			t.Errorf("%s: %d parts of %d differ, at most %d wanted", name, fresh, len(before), c.most)
		}
	}
}

// Guards against a cached part of an earlier version that is used for a different part of a
// later one.
func TestAssemblerReturnsEachVersion(t *testing.T) {
	a := new(Assembler)
	for version := range int64(20) {
		want := manyRoutes(300 + int(version)*17%90)
		want.Version = version
		want.Routes[version].Priority = int(version)
		got, err := a.Assemble(version, partsOf(t, want))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(version, diff)
		}
	}
}

// Guards against instances that read the same version and publish different parts of it.
func TestPartsAreDeterministic(t *testing.T) {
	a, b := partsOf(t, manyRoutes(500)), partsOf(t, manyRoutes(500))
	for i := range a {
		if a[i].Key != b[i].Key || !bytes.Equal(a[i].Data, b[i].Data) {
			t.Errorf("part %d differs", i)
		}
	}
}

func TestDamagedPartsAreRefused(t *testing.T) {
	for _, part := range []Part{
		{"routes/0", []byte{0xff}}, {"routes/0", nil}, {"general", []byte{0x80}},
		{"unknown", []byte{0x80}}, {"customers/1", []byte{0x9a, 0xff, 0xff, 0xff, 0xff}},
	} {
		if _, err := new(Assembler).Assemble(1, []Part{part}); err == nil {
			t.Errorf("%s with %x was accepted", part.Key, part.Data)
		}
	}
}

func FuzzAssemble(f *testing.F) {
	parts, err := manyRoutes(3).Parts()
	if err != nil {
		f.Fatal(err)
	}
	for _, part := range parts {
		f.Add(part.Key, part.Data)
	}
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		config, err := new(Assembler).Assemble(1, []Part{{key, data}})
		if err != nil {
			return
		}
		// A configuration from a peer may be rejected but must not crash the process.
		_, _ = NewTable(config)
	})
}

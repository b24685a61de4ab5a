package inventory

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"basilrudder/internal/catalog"
)

const (
	benchCustomers      = 27000
	largeValue          = 4500 // customers in a value of 750 KB
	smallValue          = 375  // customers in a value of 64 KB
	benchServers        = 600
	benchEnginesEach    = 4
	benchClasses        = 12
	benchServersPerFile = 300
)

// fleetFiles returns an inventory of the size that basilrudder is designed for.
func fleetFiles(customersPerValue int) []File {
	var files []File
	var head bytes.Buffer
	for i := range 7 {
		fmt.Fprintf(&head, "[[data_centres]]\nname = \"dc-%d\"\nregion = \"r-%d\"\n", i, i/4)
		fmt.Fprintf(&head, "[[tiers]]\ntier = %d\nname = \"tier-%d\"\n", i, i)
	}
	for i := range 6 {
		fmt.Fprintf(&head, "[[models]]\nname = \"model-%d\"\n", i)
	}
	for i := range benchClasses {
		fmt.Fprintf(&head, "[[classes]]\nname = \"class-%d\"\ntier = %d\nkind = \"model\"\nmodel = \"model-%d\"\ndeadline_ms = 30000\n", i, i%7, i%6)
	}
	files = append(files, File{Name: "head", Data: head.Bytes()})
	for from := 0; from < benchServers; from += benchServersPerFile {
		var b bytes.Buffer
		for i := from; i < from+benchServersPerFile; i++ {
			fmt.Fprintf(&b, "[[servers]]\nname = \"server-%03d\"\ndata_centre = \"dc-%d\"\naddress = \"10.0.%d.%d:8000\"\nkind = \"model\"\n", i, i%7, i/250, i%250)
			for j := range benchEnginesEach {
				fmt.Fprintf(&b, "[[servers.engines]]\nname = \"e%d\"\nmodels = [\"model-%d\"]\nslots = 16\n", j, i%6)
			}
		}
		files = append(files, File{Name: fmt.Sprintf("servers-%d", from), Data: b.Bytes()})
	}
	for from := 0; from < benchCustomers; from += customersPerValue {
		files = append(files, customersFile(from, from+customersPerValue, 10))
	}
	return files
}

func customersFile(from, to, rate int) File {
	var b bytes.Buffer
	for i := from; i < to; i++ {
		digest := sha256.Sum256(fmt.Appendf(nil, "customer %d", i))
		fmt.Fprintf(&b, "[[customers]]\nname = \"customer-%05d\"\ncredential_sha256 = [\"%s\"]\nrequests_per_s = %d\n", i, hex.EncodeToString(digest[:]), rate)
	}
	return File{Name: fmt.Sprintf("customers-%05d", from), Data: b.Bytes()}
}

func BenchmarkParseWhole(b *testing.B) {
	files := fleetFiles(smallValue)
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := Parse(files); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
}

// BenchmarkParseOneChanged measures a change of the rates in one value among many.
func BenchmarkParseOneChanged(b *testing.B) {
	for _, each := range []int{smallValue, largeValue} {
		files := fleetFiles(each)
		last := len(files) - 1
		b.Run(fmt.Sprintf("value=%dB", len(files[last].Data)), func(b *testing.B) {
			parser := new(Parser)
			before := liveBytes()
			inv, _ := parser.Parse(files)
			b.ReportAllocs()
			rate := 10
			for b.Loop() {
				rate++
				files[last] = customersFile(benchCustomers-each, benchCustomers, rate)
				var problems Problems
				if inv, problems = parser.Parse(files); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
			b.ReportMetric(float64(liveBytes()-before)/1e6, "live-MB")
			runtime.KeepAlive(parser)
			runtime.KeepAlive(inv)
		})
	}
}

func liveBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCompile measures building the catalog of the same inventory.
func BenchmarkCompile(b *testing.B) {
	inv, problems := Parse(fleetFiles(smallValue))
	if len(problems) > 0 {
		b.Fatal(problems)
	}
	for b.Loop() {
		catalog.Compile(1, inv)
	}
}

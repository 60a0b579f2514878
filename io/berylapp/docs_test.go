package berylapp

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspan/io/berylsettings"
)

//nolint:gochecknoglobals // The flag package needs it.
var update = flag.Bool("update", false, "write the golden files")

// The usage texts are golden files.
func TestUsage(t *testing.T) {
	for _, name := range []string{"", "serve", "check", "explain", "demo"} {
		t.Run("berylspan "+name, func(t *testing.T) {
			var out bytes.Buffer
			args := []string{name, "-h"}
			if name == "" {
				args = nil
			}
			New(&out, &out).Run(args)
			path := filepath.Join("testdata", "usage"+name+".golden")
			if *update {
				require.NoError(t, os.MkdirAll("testdata", 0o750))
				require.NoError(t, os.WriteFile(path, out.Bytes(), 0o600))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, string(want), out.String())
		})
	}
}

func page(t *testing.T, path string) string {
	data, err := os.ReadFile(filepath.Join("..", "..", path))
	require.NoError(t, err)
	return string(data)
}

// The README's table has every setting and no other.
func TestSettingsTable(t *testing.T) {
	_, table, ok := strings.Cut(page(t, "README.md"), "## Settings")
	require.True(t, ok)
	table, _, _ = strings.Cut(table, "##")
	var told []string
	for _, row := range regexp.MustCompile("(?m)^\\| (`[^|]*) \\|").FindAllStringSubmatch(table, -1) {
		for _, name := range regexp.MustCompile("`([a-z0-9]+)`").FindAllStringSubmatch(row[1], -1) {
			told = append(told, name[1])
		}
	}
	var have []string
	for i := range reflect.TypeFor[berylsettings.Settings]().NumField() {
		have = append(have, strings.ToLower(reflect.TypeFor[berylsettings.Settings]().Field(i).Name))
	}
	require.ElementsMatch(t, have, told)
}

// The operators' page has every metric and no other.
func TestMetricsTable(t *testing.T) {
	s := newSite(t, 1000, quick)
	s.start(s.nodes...)
	s.served()
	res, err := s.client.Get("http://" + s.nodes[0].local + "/metrics")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(res.Body)
	require.NoError(t, err)
	// Counted only when something was refused, limited, discarded or violated.
	names := map[string]bool{"berylspan_refused_total": true, "berylspan_limited_total": true, "berylspan_discarded_responses_total": true, "berylspan_violations_total": true}
	for _, m := range regexp.MustCompile(`(?m)^# HELP (berylspan_\w+)`).FindAllStringSubmatch(body.String(), -1) {
		names[m[1]] = true
	}
	_, table, _ := strings.Cut(page(t, "docs/OPERATORS.md"), "## Metrics")
	table, _, _ = strings.Cut(table, "##")
	told := map[string]bool{}
	for _, m := range regexp.MustCompile("`(berylspan_\\w+)`").FindAllStringSubmatch(table, -1) {
		told[m[1]] = true
	}
	require.Equal(t, names, told)
}

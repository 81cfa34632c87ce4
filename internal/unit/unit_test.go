package unit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayloft/internal/unit"
)

func TestMemory(t *testing.T) {
	for _, tc := range []struct {
		in   string
		want int64
		err  string
	}{
		{in: "60GB", want: 60_000},
		{in: "1.5TB", want: 1_500_000},
		{in: "0.001GB", want: 1},
		{in: "0MB", want: 0},
		{in: "1.50MB", err: "too many decimal places"},
		{in: "60", err: "has no unit; write 60MB, 60GB or 60TB"},
		{in: "60gb", err: `unknown unit "gb"`},
		{in: "GB", err: "not an amount of memory"},
		{in: "1.2.3GB", err: "not a decimal number"},
		{in: "-4GB", err: "not an amount of memory"},
		{in: "99999999999999999999GB", err: "too large"},
		{in: "999999999999TB", err: "more than 1000000TB"},
	} {
		got, err := unit.Memory(tc.in)
		if tc.err != "" {
			assert.ErrorContains(t, err, tc.err)
			continue
		}
		assert.NilError(t, err, tc.in)
		assert.Equal(t, got, tc.want, tc.in)
	}
}

func TestCores(t *testing.T) {
	for _, tc := range []struct {
		in   string
		want int64
		err  string
	}{
		{in: "16", want: 16_000},
		{in: "0.25", want: 250},
		{in: "1.500", want: 1500},
		{in: "0.0005", err: "too many decimal places"},
		{in: "2cores", err: "not a number of cores"},
		{in: "", err: "not a number of cores"},
		{in: "5.", err: "not a decimal number"},
	} {
		got, err := unit.Cores(tc.in)
		if tc.err != "" {
			assert.ErrorContains(t, err, tc.err)
			continue
		}
		assert.NilError(t, err, tc.in)
		assert.Equal(t, got, tc.want, tc.in)
	}
}

func TestDuration(t *testing.T) {
	d, err := unit.Duration("1m30s")
	assert.NilError(t, err)
	assert.Equal(t, d, 90*time.Second)
	for in, want := range map[string]string{
		"15":  "has no unit; write 15ms, 15s, 15m or 15h",
		"-1s": "is negative",
		"5d":  "its units are ms, s, m and h",
		"ten": "not a duration",
	} {
		_, err := unit.Duration(in)
		assert.ErrorContains(t, err, want)
	}
}

func TestFormatsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mb := rapid.Int64Range(0, unit.MaxMemoryMB).Draw(t, "mb")
		got, err := unit.Memory(unit.FormatMemory(mb))
		assert.NilError(t, err)
		assert.Equal(t, got, mb)

		m := rapid.Int64Range(0, unit.MaxMillicores).Draw(t, "millicores")
		got, err = unit.Cores(unit.FormatCores(m))
		assert.NilError(t, err)
		assert.Equal(t, got, m)

		d := time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "d"))
		back, err := unit.Duration(unit.FormatDuration(d))
		assert.NilError(t, err)
		assert.Equal(t, back, d)
	})
}

package place

import "fmt"

// Size is an amount of each resource of a VM.
type Size struct {
	Millicores   int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{s.Millicores + o.Millicores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns the difference of s and o.
func (s Size) Minus(o Size) Size {
	return Size{s.Millicores - o.Millicores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Max returns the element-wise maximum of s and o.
func (s Size) Max(o Size) Size {
	return Size{max(s.Millicores, o.Millicores), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// min returns the element-wise minimum of s and o.
func (s Size) min(o Size) Size {
	return Size{min(s.Millicores, o.Millicores), min(s.MemoryMB, o.MemoryMB), min(s.Accelerators, o.Accelerators)}
}

// Fits reports whether s is at most o in every dimension.
func (s Size) Fits(o Size) bool {
	return s.Millicores <= o.Millicores && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

// String returns the size with its units.
func (s Size) String() string {
	return fmt.Sprintf("%dm cores, %d MB, %d accelerators", s.Millicores, s.MemoryMB, s.Accelerators)
}

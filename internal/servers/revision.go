package servers

import "strconv"

// Revision orders what the store says: by its era first, then by the number that it counts
// in each era. A store that comes back from an older copy begins a new era and gives
// numbers out again, so the number alone would have what it says then count as old.
//
// It is one integer, so that it is compared as one and costs links no more than a number.
// In the first era, 0, it is the number.
type Revision int64

const (
	numberBits = 47
	// MaxNumber and MostEra are the largest that a Revision holds.
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<(63-numberBits) - 1
)

// NewRevision returns the revision of an era and a number; false when one of them is
// negative or too large.
func NewRevision(era, number int64) (r Revision, ok bool) {
	if era < 0 || era > MaxEra || number < 0 || number > MaxNumber {
		return 0, false
	}
	return Revision(era<<numberBits | number), true
}

// Era of the store.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number that the store gives it.
func (r Revision) Number() int64 { return int64(r) & MaxNumber }

// String is the number, with the era before it where there has been more than one.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatInt(r.Era(), 10) + "." + number
}

package fleetsim

import "testing"

// TestMembersOfALargeFleet has 150 members tell each other of joins, leaves, restarts and a split, with
// words lost: all come to know, and their parts never add up to more than one.
func TestMembersOfALargeFleet(t *testing.T) {
	r, err := Members{Count: 150, Loss: 0.1, Seed: 4, Changes: []Change{Begin, Join, Leave, Restart, Split}}.Run()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", *r)
	if r.Most > 1+1e-9 || r.Most < 0.99 {
		t.Errorf("parts add up to %v", r.Most)
	}
}

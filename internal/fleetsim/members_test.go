package fleetsim

import "testing"

// TestMembersOfALargeFleet simulates gossip among 150 members through joins, a leave, a restart and a partition, with
// lost records: all members learn of each change, and their quotas never add up to more than one.
func TestMembersOfALargeFleet(t *testing.T) {
	r, err := Members{Count: 150, Loss: 0.1, Seed: 4, Changes: []Change{Begin, Join, Leave, Restart, Partition}}.Run()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", *r)
	if r.MaxQuotaSum > 1+1e-9 || r.MaxQuotaSum < 0.99 {
		t.Errorf("the largest sum of all quotas is %v, want 0.99 to 1", r.MaxQuotaSum)
	}
}

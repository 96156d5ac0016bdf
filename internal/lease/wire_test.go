package lease

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The files under testdata hold the encoding of the release before these types were first renamed. They were
// written with
//
//	go test ./internal/lease -run TestMessagesKeepTheirJSON -update
var updateFixtures = flag.Bool("update", false, "overwrite the fixtures with the current encoding")

// Every field of every message is set, so that the test detects a changed or lost tag.
var (
	wireHolder           = Holder{Name: "n1", Incarnation: 0x7f3a}
	wireKeepAliveRequest = KeepAliveRequest{Holder: wireHolder, SentAt: 1234.5, Capacity: 2.5, Draining: true, Jobs: []string{JobPruneRecord, JobCollectSpool},
		Released: []GrantID{{Job: JobPruneRecord, Fence: 7}}, HigherFences: []GrantID{{Job: JobCollectSpool, Fence: 9}}}
	wireKeepAliveResponse = KeepAliveResponse{Holder: wireHolder, SentAt: 1234.5, RedirectTo: "n2",
		Grants:      []Grant{{GrantID: GrantID{Job: JobPruneRecord, Fence: 8}, TTL: 2000, Reclaim: true}},
		Assignments: []Assignment{{GrantID: GrantID{Job: JobReadJournal, Fence: 4}, HolderName: "n3"}}, Error: "the name n1 is in use"}
	wireAnnouncement = Announcement{Name: "n1", ReplicaID: 11, GroupID: 12}
	wireHistoryEntry = HistoryEntry{Index: 21, Job: JobPruneRecord, Fence: 8, Holder: "n1/7f3a", Event: "assign", Reason: "by hand"}
	wireAdminRequest = AdminRequest{ID: 3, Operation: AdminMove, Job: JobPruneRecord, Target: "n2"}
	wireStatus       = Status{Replica: "n1", Leader: "n2", Term: 5, GroupID: "000000000000000c", Generation: 2, Replicas: []string{"n1", "n2", "n3"},
		Jobs:    []JobStatus{{Job: JobPruneRecord, Fence: 8, Holder: "n1/7f3a", Preferred: "n2", AgeMS: 12.5}},
		Clients: []ClientStatus{{Name: "n1", AgeMS: 12.5, Capacity: 2.5, Draining: true, HeldDown: true}}}
	wireAdminResponse = AdminResponse{ID: 3, RedirectTo: "n2", Error: "moved", Status: &wireStatus, History: []HistoryEntry{wireHistoryEntry}}
	wireFenceRecord   = FenceRecord{Fence: 8, Holder: "n1/7f3a"}
)

func TestMessagesKeepTheirJSON(t *testing.T) {
	for fixtureName, testCase := range map[string]struct {
		value  any
		decode func([]byte) (any, error)
	}{
		"keepalive-request":  {wireKeepAliveRequest, decodeAs[KeepAliveRequest]},
		"keepalive-response": {wireKeepAliveResponse, decodeAs[KeepAliveResponse]},
		"announcement":       {wireAnnouncement, decodeAs[Announcement]},
		"history-entry":      {wireHistoryEntry, decodeAs[HistoryEntry]},
		"admin-request":      {wireAdminRequest, decodeAs[AdminRequest]},
		"admin-response":     {wireAdminResponse, decodeAs[AdminResponse]},
		"fence-record":       {wireFenceRecord, decodeAs[FenceRecord]},
		"job-registry":       {Jobs(), decodeAs[[]Job]},
	} {
		t.Run(fixtureName, func(t *testing.T) {
			path := filepath.Join("testdata", fixtureName+".json")
			encoded, err := json.Marshal(testCase.value)
			require.NoError(t, err)
			if *updateFixtures {
				require.NoError(t, os.WriteFile(path, append(encoded, '\n'), 0o644))
			}
			fixture, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, string(fixture), string(encoded)+"\n")
			decoded, err := testCase.decode(fixture)
			require.NoError(t, err)
			require.Equal(t, testCase.value, decoded)
		})
	}
}

func decodeAs[T any](raw []byte) (any, error) {
	var decoded T
	err := json.Unmarshal(raw, &decoded)
	return decoded, err
}

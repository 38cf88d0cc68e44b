//! Encoding, size, keys and partitions of stored rows.

use crate::cases;
use primroseroute_cell::row::{
    self, Claim, ControlKey, IncarnationTag, JobKey, Phase, Progress, Task,
    tombstone::{self, Scope, Tombstone},
};
use primroseroute_domain::work::{JobId, Name, State};
use std::collections::{BTreeMap, BTreeSet};

cases! {
    progress_survives_a_round_trip => progress();
    task_without_crashes_is_encoded_without_crash_fields => without_crashes();
    largest_job_fits_into_a_row => largest();
    /// Guards against a crash that goes uncounted because the next incarnation of its worker has the tag of the previous one.
    marks_of_successive_incarnations_differ => incarnations();
    keys_survive_a_round_trip => keys();
    tombstones_survive_a_round_trip => tombstones();
    /// Guards against an entry of the version before that accepts or shows a job under a cancelled id.
    tombstone_is_the_claim_of_no_caller_to_the_version_before => version_before();
    heartbeats_and_ids_spread_over_partitions => spread();
}

fn task(worker: &str) -> Task {
    Task {
        phase: Phase::Placed(worker.into()),
        run: 12,
        failed: BTreeSet::from([3, 7]),
        checkpoint: Some("00000bb87a21d94b".into()),
        crashed: BTreeSet::from([2, 9]),
        incarnation_tag: Some(IncarnationTag::of(4)),
    }
}

fn leaving(worker: &str) -> Task {
    Task {
        phase: Phase::Leaving(worker.into()),
        ..task(worker)
    }
}

fn progress() {
    let waiting = Task::default();
    let leaving = leaving("i-2");
    let progress = Progress {
        account: Some("account-of-a-usual-length".into()),
        state: State::Running,
        steps: BTreeMap::from([(0, vec![vec![task("i-1"), waiting, leaving]])]),
        next: 1,
        ended_ms: None,
    };
    let json = serde_json::to_string(&progress).expect("it serializes");
    let read: Progress = serde_json::from_str(&json).expect("it was just written");
    assert_eq!(read, progress);
}

fn without_crashes() {
    let task = Task {
        crashed: BTreeSet::new(),
        incarnation_tag: None,
        ..task("i-1")
    };
    let json = serde_json::to_string(&task).expect("it serializes");
    assert_eq!(json, r#"[{"placed":"i-1"},12,[3,7],"00000bb87a21d94b"]"#);
    let read: Task = serde_json::from_str(&json).expect("it was just written");
    assert_eq!(read, task);
}

fn largest() {
    let most = usize::try_from(primroseroute_domain::work::MAX_TASKS).expect("small");
    let progress = Progress {
        account: Some("account-of-a-usual-length".into()),
        state: State::Running,
        steps: BTreeMap::from([(0, vec![vec![leaving("i-7f3a91c2ab"); most]])]),
        next: 1,
        ended_ms: None,
    };
    let json = serde_json::to_vec(&progress).expect("it serializes");
    assert!(json.len() <= 65_536, "{} bytes", json.len());
}

fn incarnations() {
    for apart in 2_000..18_000 {
        for born in [0, 1, 999, 1_900] {
            assert_ne!(
                IncarnationTag::of(born),
                IncarnationTag::of(born + apart),
                "{born} {apart}"
            );
        }
    }
}

fn keys() {
    let id = JobId::parse("5c0e7a21d94b36f8").expect("16 digits");
    let accepted = row::accepted("pool", &id);
    assert_eq!(
        JobKey::parse(&accepted.key),
        Some(JobKey::Accepted(id.clone()))
    );
    let cancel = row::cancel("pool", &id);
    assert_eq!(JobKey::parse(&cancel.key), Some(JobKey::Cancel(id.clone())));
    let marker = tombstone::marker("pool", &id);
    assert_eq!(
        JobKey::parse(&marker.key),
        Some(JobKey::Tombstone(id.clone()))
    );
    assert_eq!(marker.partition, row::claim(&id).partition);
    assert_eq!(JobKey::parse("something"), None);
    let owner = ControlKey::of(&row::owner("pool"));
    assert_eq!(owner, Some(ControlKey::Owner("pool".into())));
    let member = ControlKey::of(&row::member("entry"));
    assert_eq!(member, Some(ControlKey::Member("entry".into())));
}

fn tombstones() {
    let name = |text: &str| Name::from(text);
    let accounts = [None, Some(name("a")), Some(name("anonymous"))];
    for account in &accounts {
        let scope = Scope::of(account.as_ref());
        for other in &accounts {
            assert_eq!(scope.covers(other.as_ref()), other == account);
        }
        let tombstone = Tombstone::Cancelled(scope);
        let claim = Claim::held(&name("pool"), &tombstone);
        assert_eq!(claim.tombstone(), Some(tombstone));
    }
    let claim = Claim::held(&name("pool"), &Tombstone::Rejected);
    assert_eq!(claim.tombstone(), Some(Tombstone::Rejected));
    let job = Claim {
        pool: name("pool"),
        queue: name("queue"),
        account: None,
    };
    assert_eq!(job.tombstone(), None);
}

// Entries of the version before read a tombstone as the claim of a job, with the fields that it has there. They refuse
// callers whose account and queue aren't the claim's.
fn version_before() {
    let cancelled = [
        Scope::Anonymous,
        Scope::Account("a".into()),
        Scope::Everyone,
    ];
    let cancelled = cancelled.map(Tombstone::Cancelled).into_iter();
    for tombstone in cancelled.chain([Tombstone::Rejected]) {
        let claim = Claim::held(&"pool".into(), &tombstone);
        let stored = serde_json::to_value(&claim).expect("it serializes");
        let fields = stored.as_object().expect("an object");
        let fields: BTreeSet<&str> = fields.keys().map(String::as_str).collect();
        assert_eq!(fields, BTreeSet::from(["account", "pool", "queue"]));
        for field in ["account", "queue"] {
            let value = stored[field].as_str().expect("a text");
            assert!(value.starts_with('.'), "{value}");
        }
    }
}

// A partition serialises its transactions: rows of many writers must not share one.
fn spread() {
    let mut members: BTreeMap<String, usize> = BTreeMap::new();
    let mut ids: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..320_u64 {
        let member = row::member(&format!("entry-{number}"));
        *members.entry(member.partition.to_string()).or_default() += 1;
        let id = JobId::parse(&format!("{number:016x}")).expect("16 digits");
        *ids.entry(row::claim(&id).partition.to_string())
            .or_default() += 1;
    }
    assert!(
        members.len() == 8 && members.values().all(|count| *count <= 80),
        "{members:?}"
    );
    assert!(
        ids.len() == 48 && ids.values().all(|count| *count <= 20),
        "{ids:?}"
    );
}

//! Encoding, size, keys and partitions of stored rows.

use crate::cases;
use primroseroute_cell::row::{self, ControlKey, IncarnationTag, JobKey, Phase, Progress, Task};
use primroseroute_domain::work::{JobId, State};
use std::collections::{BTreeMap, BTreeSet};

cases! {
    progress_survives_a_round_trip => progress();
    task_without_crashes_is_encoded_without_crash_fields => without_crashes();
    largest_job_fits_into_a_row => largest();
    /// Guards against a crash that goes uncounted because the next incarnation of its worker has the tag of the previous one.
    marks_of_successive_incarnations_differ => incarnations();
    keys_survive_a_round_trip => keys();
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
    assert_eq!(JobKey::parse(&cancel.key), Some(JobKey::Cancel(id)));
    assert_eq!(JobKey::parse("something"), None);
    let owner = ControlKey::of(&row::owner("pool"));
    assert_eq!(owner, Some(ControlKey::Owner("pool".into())));
    let member = ControlKey::of(&row::member("entry"));
    assert_eq!(member, Some(ControlKey::Member("entry".into())));
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

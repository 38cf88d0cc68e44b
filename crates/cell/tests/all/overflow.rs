//! Progress that is longer than a row of the store.

use crate::{
    cases,
    fixture::{Fixture, WALL_AT_ZERO_MS, job, starts, step},
};
use primroseroute_cell::row::{
    Accepted, IncarnationTag, Phase, Progress, Task,
    overflow::{self, MAX_VALUE_BYTES, Overflow, WorkKey},
};
use primroseroute_domain::work::{Job, JobId, MAX_OPEN_TASKS, Schedule, State};
use std::collections::BTreeMap;

cases! {
    /// Guards against a row that the store refuses for its length, whatever the states of the tasks in it are.
    longest_rows_fit_into_the_store => longest();
    /// Guards against tasks whose state is lost where an owner dies between two transactions of one commit.
    part_of_a_commit_mixes_no_states => partial();
    /// Guards against occurrences that are skipped after an entry without segments has begun them again.
    own_row_outweighs_older_segments => own_row_decides();
    /// Guards against memory that grows without limit while occurrences become due faster than they are completed.
    unfinished_occurrences_are_bounded => bounded();
    keys_of_rows_survive_a_round_trip => keys();
}

fn accepted(count: u16, max_attempts: u32) -> Accepted {
    let mut job = job(vec![step(count / 2, 10), step(count - count / 2, 10)]);
    job.schedule = Some(Schedule {
        times: 100,
        first_ms: 0,
        interval_ms: 1,
    });
    Accepted {
        queue: "queue".into(),
        pool: "pool".into(),
        job,
        at_ms: 0,
        priority: 0,
        max_attempts,
        objective_ms: 1_000,
        account: None,
    }
}

/// Progress with `occurrences` unfinished occurrences from number `first` on.
fn progress(of: &Accepted, first: u32, occurrences: u32, task: &Task) -> Progress {
    let steps = of.job.steps.iter();
    let steps = steps.map(|step| vec![task.clone(); usize::from(step.count)]);
    let steps: Vec<Vec<Task>> = steps.collect();
    Progress {
        state: State::Running,
        steps: (first..first + occurrences)
            .map(|number| (number, steps.clone()))
            .collect(),
        next: first + occurrences,
        ended_ms: None,
        account: None,
    }
}

fn placed(worker: &str, run: u32) -> Task {
    Task {
        phase: Phase::Placed(worker.into()),
        run,
        ..Task::default()
    }
}

fn longest() {
    for attempts in [1, 3, 500, u32::MAX] {
        let accepted = accepted(if attempts > 3 { 40 } else { 1_000 }, attempts);
        let failures = attempts.min(overflow::MAX_ATTEMPTS);
        let task = Task {
            phase: Phase::Leaving("\u{1}".repeat(200).into()),
            run: u32::MAX,
            failed: (u32::MAX - failures + 1..=u32::MAX).collect(),
            checkpoint: Some("\u{1}".repeat(256).into()),
            crashed: (u32::MAX - 7..=u32::MAX).collect(),
            incarnation_tag: Some(IncarnationTag::of(4)),
        };
        let progress = progress(&accepted, 0, 2, &task);
        let (own, rows) = overflow::encode(&accepted, &progress);
        let values = rows.segments.values().chain(&rows.index).chain([&own]);
        let longest = values.map(bytes::Bytes::len).max();
        assert!(
            longest.is_some_and(|bytes| bytes <= MAX_VALUE_BYTES),
            "{longest:?}"
        );
        let own = serde_json::from_slice(&own).expect("progress");
        let read = overflow::decode(&accepted, own, &rows).expect("segments");
        assert_eq!(read, progress);
    }
}

/// Rows of a store, and the transactions that turn them into those of `to`.
struct Rows {
    own: Progress,
    overflow: Overflow,
}

impl Rows {
    fn of(accepted: &Accepted, progress: &Progress) -> Self {
        let (own, overflow) = overflow::encode(accepted, progress);
        Self {
            own: serde_json::from_slice(&own).expect("progress"),
            overflow,
        }
    }

    fn read(&self, accepted: &Accepted) -> Progress {
        overflow::decode(accepted, self.own.clone(), &self.overflow).expect("segments")
    }
}

// Segments are written first, then the job's own row with the index, then what is unneeded is deleted. The states
// before and after differ in each task, so that each task shows from which of them it was read.
fn partial() {
    let accepted = accepted(900, 3);
    let (short, long) = (placed("w-1", 1), placed("a-worker-with-a-long-name", 2));
    let states = [
        progress(&accepted, 0, 1, &short),
        progress(&accepted, 0, 4, &long),
        progress(&accepted, 1, 5, &short),
        progress(&accepted, 5, 1, &long),
    ];
    for pair in states.windows(2) {
        let [before, after] = pair else {
            unreachable!()
        };
        let mut rows = Rows::of(&accepted, before);
        let wanted = Rows::of(&accepted, after);
        let old = rows.overflow.segments.clone();
        for (id, value) in &wanted.overflow.segments {
            rows.overflow.segments.insert(*id, value.clone());
            assert_mixes(&rows.read(&accepted), before, after);
        }
        rows.own = wanted.own.clone();
        rows.overflow.index.clone_from(&wanted.overflow.index);
        assert_eq!(rows.read(&accepted), *after);
        for id in old.keys() {
            if !wanted.overflow.segments.contains_key(id) {
                rows.overflow.segments.remove(id);
                assert_eq!(rows.read(&accepted), *after);
            }
        }
    }
}

/// Each task that is open in `before` has its state from there or from `after`.
fn assert_mixes(read: &Progress, before: &Progress, after: &Progress) {
    assert_eq!(read.next, before.next);
    assert!(read.steps.keys().eq(before.steps.keys()));
    for (number, steps) in &read.steps {
        let known = [before, after].map(|state| state.steps.get(number));
        for (step, tasks) in steps.iter().enumerate() {
            for (index, task) in tasks.iter().enumerate() {
                let mut states = known.iter().flatten().map(|steps| &steps[step][index]);
                assert!(states.any(|state| state == task), "{number}.{step}.{index}");
            }
        }
    }
}

fn own_row_decides() {
    let accepted = accepted(900, 3);
    let newer = progress(&accepted, 2, 5, &placed("a-worker-with-a-long-name", 2));
    let (own, rows) = overflow::encode(&accepted, &newer);
    let own: Progress = serde_json::from_slice(&own).expect("progress");
    assert!(own.next < newer.next);
    let by_other = Progress {
        steps: BTreeMap::from([(newer.next, vec![vec![Task::default()]])]),
        next: newer.next + 1,
        ..own.clone()
    };
    let read = overflow::decode(&accepted, by_other.clone(), &rows).expect("segments");
    assert_eq!(read, by_other);
    let ended = Progress {
        state: State::Cancelled,
        steps: BTreeMap::new(),
        ..own
    };
    let read = overflow::decode(&accepted, ended.clone(), &rows).expect("segments");
    assert_eq!(read, ended);
}

fn bounded() {
    for count in [1, 700] {
        let mut fixture = Fixture::new(&["w-1"]);
        fixture.accept(Job {
            schedule: Some(Schedule {
                times: u32::MAX,
                first_ms: WALL_AT_ZERO_MS,
                interval_ms: 0,
            }),
            ..job(vec![step(count, 10)])
        });
        let output = fixture.round();
        assert!(!starts(&output.orders).is_empty());
        let (id, own) = &output.puts[0];
        let own: Progress = serde_json::from_slice(own).expect("progress");
        let segments = output.overflow.get(id).into_iter();
        let segments = segments.flat_map(|change| &change.segments);
        let in_segments = segments.map(|(_id, value)| {
            let tasks: Vec<Task> = serde_json::from_slice(value).expect("tasks");
            tasks.len()
        });
        let in_own = own.steps.values().flatten().flatten().count();
        let tasks = (in_own + in_segments.sum::<usize>()) as u64;
        let least = u64::from(count) * 10;
        assert!((least..=MAX_OPEN_TASKS).contains(&tasks), "{tasks}");
    }
}

fn keys() {
    let id = JobId::parse("5c0e7a21d94b36f8").expect("16 digits");
    let segment = overflow::SegmentId {
        occurrence: 12,
        number: 3,
    };
    let key = overflow::segment("pool", &id, segment).key;
    assert_eq!(
        WorkKey::parse(&key),
        Some(WorkKey::Segment(id.clone(), segment))
    );
    let key = overflow::index("pool", &id).key;
    assert_eq!(WorkKey::parse(&key), Some(WorkKey::Index(id.clone())));
    let key = primroseroute_cell::row::progress("pool", &id).key;
    assert_eq!(WorkKey::parse(&key), Some(WorkKey::Progress(id)));
    assert_eq!(WorkKey::parse(".batch"), None);
}

//! Growth of the store's load and of the messages with size, as stated in `docs/CAPACITY.md`.
//!
//! Each case runs two sizes and compares their counts. The bounds exceed the stated numbers by one timer
//! round, which may fall into the counted period or not.

use crate::cases;
use eyre::Result;
use primroseroute_capacity::{Cluster, Count, Cycles, Size};
use std::time::Duration;
use tokio::time::Instant;

const IDLE_PERIOD: Duration = Duration::from_secs(60);

cases! {
    workers_cost_the_store_nothing_at_rest => workers_at_rest();
    entries_cost_the_store_two_calls_a_second_each => entries_at_rest();
    exchanges_of_an_entry_do_not_grow_with_the_entries => exchanges_at_rest();
    change_costs_one_push_and_one_row_an_entry => change();
    restart_costs_five_changes_at_any_size => restart();
    restart_is_acknowledged_by_one_round_of_exchanges => acknowledged();
}

async fn cluster(entries: usize, workers: usize) -> Result<Cluster> {
    Cluster::start(Size { entries, workers }, Cycles::Running).await
}

async fn at_rest(entries: usize, workers: usize) -> Result<Count> {
    Ok(cluster(entries, workers)
        .await?
        .count_idle(IDLE_PERIOD)
        .await)
}

async fn workers_at_rest() -> Result<()> {
    let (few, many) = (at_rest(3, 50).await?, at_rest(3, 400).await?);
    // Three polls and a read of three registrations may or may not fall into the period.
    assert!(many.reads <= few.reads + 6, "{few:?} {many:?}");
    assert!(many.rows_read <= few.rows_read + 15, "{few:?} {many:?}");
    assert!(many.writes <= few.writes + 3, "{few:?} {many:?}");
    assert!(
        many.rows_written <= few.rows_written + 3,
        "{few:?} {many:?}"
    );
    Ok(())
}

async fn entries_at_rest() -> Result<()> {
    for entries in [3, 14] {
        let count = at_rest(entries, 50).await?;
        let (seconds, each) = (IDLE_PERIOD.as_secs(), entries as u64);
        // A poll each second, the lease every 3 s and the roster every 5 s; the controller's cycle reads
        // the head twice, the instances' marks and the registrations.
        assert!(
            count.reads <= seconds * (2 * each + 4),
            "{entries}: {count:?}"
        );
        // Only the rows of the roster grow quadratically: each entry reads entries / 5 of them per second.
        let rows = seconds * (2 * each + each * each / 5 + each + 5) + each * each;
        assert!(count.rows_read <= rows, "{entries}: {count:?}");
        // A heartbeat every 15 s, and the controller's lease every 3 s.
        assert!(
            count.writes <= seconds * each / 15 + seconds / 3 + each,
            "{entries}: {count:?}"
        );
        assert_eq!(count.rows_written, count.writes, "{entries}: {count:?}");
    }
    Ok(())
}

/// Each entry exchanges with at most eight peers per second; an exchange has two sides.
async fn exchanges_at_rest() -> Result<()> {
    for entries in [7, 28] {
        let count = at_rest(entries, 50).await?;
        let sides = 2 * count.exchanges / entries as u64;
        assert!(
            sides <= 8 * (IDLE_PERIOD.as_secs() + 1),
            "{entries}: {count:?}"
        );
        assert!(sides >= 5 * IDLE_PERIOD.as_secs(), "{entries}: {count:?}");
        assert_eq!(count.pushes, 0, "no change was committed");
    }
    Ok(())
}

async fn change() -> Result<()> {
    const CHANGES: u64 = 10;
    for entries in [7, 28] {
        let cluster = cluster(entries, 50).await?;
        let rest = cluster.count_idle(IDLE_PERIOD).await;
        let before = cluster.count();
        for number in 0..CHANGES {
            let took = cluster.commit_and_wait(2 + u32::try_from(number)?).await?;
            assert!(took < Duration::from_secs(2), "{entries}: {took:?}");
            tokio::time::sleep(Duration::from_secs(6).saturating_sub(took)).await;
        }
        let count = cluster.count() - before;
        let each = entries as u64;
        // Head, record and row, then each entry's registration, which replaces a heartbeat.
        let rows = count.rows_written - rest.rows_written.min(count.rows_written);
        assert!(
            rows <= CHANGES * (3 + each),
            "{entries}: {rows} rows, {count:?}"
        );
        // The entry that polls the change first pushes it to the others; two may poll at the same moment.
        assert!(count.pushes <= CHANGES * 2 * each, "{entries}: {count:?}");
        assert!(
            count.exchanges <= rest.exchanges + rest.exchanges / 10 + CHANGES * each,
            "{entries}: {count:?} {rest:?}"
        );
    }
    Ok(())
}

async fn restart() -> Result<()> {
    for workers in [50, 200] {
        let changes = cluster(3, workers).await?.restart(1).await?;
        assert_eq!(changes, 5, "{workers}");
    }
    Ok(())
}

/// Of the five changes only the drain makes each entry exchange with every other one at once.
async fn acknowledged() -> Result<()> {
    for entries in [7, 14] {
        let cluster = cluster(entries, 50).await?;
        let rest = cluster.count_idle(IDLE_PERIOD).await;
        let (before, started) = (cluster.count(), Instant::now());
        cluster.restart(1).await?;
        let count = cluster.count() - before;
        let each = entries as u64;
        // Exchanges caused by timers in that time, plus one timer round that may fall into it.
        let rounds = started.elapsed().as_secs() + 1;
        let timed = rest.exchanges * rounds / IDLE_PERIOD.as_secs() + each * (each - 1) / 2;
        let limit = each * (each - 1) + timed;
        assert!(count.exchanges <= limit, "{entries}: {count:?}, {limit}");
    }
    Ok(())
}

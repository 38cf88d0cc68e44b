//! Loss of a region and of an availability zone, with complete entries in virtual time.

use crate::cases;
use eyre::{Result, ensure};
use primroseroute_capacity::{Cluster, Cycles, Size};
use primroseroute_domain::{id, instance::State};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    region_cut_off_for_an_hour_catches_up_by_records => partitioned(60);
    region_cut_off_for_an_hour_catches_up_by_snapshot => partitioned(600);
    zone_lost_with_its_entries_costs_few_changes => zone_lost();
}

const SIZE: Size = Size {
    entries: 6,
    workers: 50,
};

const HOUR: Duration = Duration::from_secs(3600);

/// Required time limit for a configuration to take effect at every entry.
const MAX_PROPAGATION: Duration = Duration::from_secs(12);

fn entries(numbers: [usize; 3]) -> Result<Vec<id::Entry>> {
    let names = numbers.map(|number| format!("entry-{number}").parse());
    Ok(names.into_iter().collect::<Result<_, _>>()?)
}

/// One region is partitioned from the other and from the store for an hour while `changes` changes are
/// accepted. All entries of the partitioned region keep their view. After the partition heals, the last
/// change takes effect there within the time limit for any change, and no entry's version ever goes back.
async fn partitioned(changes: u32) -> Result<()> {
    let cluster = Cluster::start(SIZE, Cycles::Running).await?;
    let far = entries([3, 4, 5])?;
    cluster.partition(&far);
    let mut views = cluster.versions();
    let old = views[&far[0]];
    let mut last = old;
    for number in 0..changes {
        last = cluster.commit_change(2 + number).await?;
        sleep(HOUR / changes).await;
        let now = cluster.versions();
        ensure!(
            now.iter().all(|(name, seq)| *seq >= views[name]),
            "{views:?}, then {now:?}"
        );
        views = now;
    }
    for (name, seq) in &views {
        let want = if far.contains(name) { old } else { last };
        assert_eq!(*seq, want, "{name}");
    }

    // The links between the entries are restored first, and the store a minute later.
    let before = cluster.count().pulls;
    cluster.heal_links();
    let took = cluster.wait_in_effect(last).await?;
    assert!(took <= MAX_PROPAGATION, "{took:?}");
    ensure!(cluster.count().pulls > before, "no entry pulled");
    sleep(Duration::from_secs(60)).await;
    cluster.restore_store(&far);
    let next = cluster.commit_change(1).await?;
    let took = cluster.wait_in_effect(next).await?;
    assert!(took <= MAX_PROPAGATION, "{took:?}");
    Ok(())
}

/// An availability zone is lost with its workers and an entry, which may be the controller. The remaining
/// entries take over the controller role and remove the workers from all pools in a few changes. Workers
/// in other zones aren't touched: planned work must not take more from a pool that lacks members.
async fn zone_lost() -> Result<()> {
    let mut cluster = Cluster::start(SIZE, Cycles::Running).await?;
    let before = cluster.versions().into_values().max().unwrap_or_default();
    let zone: id::Zone = "zone-0".parse()?;
    cluster.lose_zone(&zone, &["entry-0".parse()?]).await;
    sleep(Duration::from_secs(60)).await;

    let rows = cluster.instances().await?;
    let serving = |row: &&primroseroute_domain::instance::Row| row.state == State::Serving;
    assert_eq!(
        rows.iter()
            .filter(|row| row.zone == zone)
            .filter(serving)
            .count(),
        0
    );
    let elsewhere = rows.iter().filter(|row| row.zone != zone);
    assert_eq!(elsewhere.filter(serving).count(), SIZE.workers * 4 / 5);
    let after = cluster.versions().into_values().max().unwrap_or_default();
    assert!(after.0 - before.0 <= 5, "{} changes", after.0 - before.0);
    let views = cluster.versions();
    assert!(views.values().all(|seq| *seq == after), "{views:?}");
    Ok(())
}

//! A region and a zone lost, over whole entries and in virtual time.

use crate::cases;
use eyre::{Result, ensure};
use primroseroute_capacity::{Cycles, Size, Stage};
use primroseroute_domain::{id, instance::State};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    region_cut_off_for_an_hour_catches_up_by_records => cut(60);
    region_cut_off_for_an_hour_catches_up_by_snapshot => cut(600);
    zone_lost_with_its_entries_costs_few_changes => zone_lost();
}

const SIZE: Size = Size {
    entries: 6,
    workers: 50,
};

const HOUR: Duration = Duration::from_secs(3600);

/// The users want a configuration in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(12);

fn entries(numbers: [usize; 3]) -> Result<Vec<id::Entry>> {
    let names = numbers.map(|number| format!("entry-{number}").parse());
    Ok(names.into_iter().collect::<Result<_, _>>()?)
}

/// One region loses the other and the store for an hour, while `changes` changes are accepted. The
/// region that is cut off keeps its view, whichever of its entries is asked. Once healed it has the
/// last change within the time that the users allow for any change, and no entry ever went back.
async fn cut(changes: u32) -> Result<()> {
    let stage = Stage::open(SIZE, Cycles::Running).await?;
    let far = entries([3, 4, 5])?;
    stage.cut(&far);
    let mut views = stage.views();
    let old = views[&far[0]];
    let mut last = old;
    for number in 0..changes {
        last = stage.accept(2 + number).await?;
        sleep(HOUR / changes).await;
        let now = stage.views();
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

    // The peers come back first, and the store a minute later.
    let before = stage.count().pulls;
    stage.heal();
    let took = stage.spread(last).await?;
    assert!(took <= IN_FORCE, "{took:?}");
    ensure!(stage.count().pulls > before, "no entry pulled");
    sleep(Duration::from_secs(60)).await;
    stage.reach(&far);
    let next = stage.accept(1).await?;
    let took = stage.spread(next).await?;
    assert!(took <= IN_FORCE, "{took:?}");
    Ok(())
}

/// A zone goes with its workers and an entry, which may be the controller. The rest takes the
/// controller over, and takes the workers out of all pools in a few changes. No worker elsewhere is
/// touched: no pool may lose more to a plan while it lacks members.
async fn zone_lost() -> Result<()> {
    let mut stage = Stage::open(SIZE, Cycles::Running).await?;
    let before = stage.views().into_values().max().unwrap_or_default();
    let zone: id::Zone = "zone-0".parse()?;
    stage.lose(&zone, &["entry-0".parse()?]).await;
    sleep(Duration::from_secs(60)).await;

    let rows = stage.instances().await?;
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
    let after = stage.views().into_values().max().unwrap_or_default();
    assert!(after.0 - before.0 <= 5, "{} changes", after.0 - before.0);
    let views = stage.views();
    assert!(views.values().all(|seq| *seq == after), "{views:?}");
    Ok(())
}

//! Health checks of workers, and which entries must acknowledge the removal of an instance.

use crate::cases;
use eyre::Result;
use primroseroute_controller::{HttpProbe, Probe};
use primroseroute_domain::{id, instance::State};
use primroseroute_platform::fleet::{Listed, Phase};
use primroseroute_testbed::{Layout, Site, backend, platform, platform::fault::Outage};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Timeout of a departure, far longer than one takes; only a fault reaches it.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(30);

cases! {
    healthy_worker_passes_its_check => healthy_worker();
    departure_waits_for_an_entry_that_has_just_registered => just_registered();
    entry_that_the_platform_lists_as_gone_holds_up_no_departure => gone_entry();
}

/// The worker passes its health check and closes the connection, as requested. The probe must not
/// treat the close as a missing response, or new instances would never serve.
async fn healthy_worker() -> Result<()> {
    let address = "127.0.0.1:0".parse()?;
    let worker = backend::Backend::bind(address, backend::Options::default()).await?;
    let probe = HttpProbe::new(backend::HEALTH_PATH);
    for _ in 0..100 {
        assert!(probe.is_healthy(worker.address()).await);
    }
    Ok(())
}

/// An entry is killed and the platform lists it as gone. It can no longer send requests, so the
/// removal of an instance must not wait for its acknowledgement.
async fn gone_entry() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.converge().await?;
    // Until `entry-0` has read the registration of `entry-1`, it would not wait for it in any case.
    while site.entry("entry-0").admin.status().await?.entries.len() < 2 {
        sleep(Duration::from_millis(20)).await;
    }
    site.take_entry("entry-1").entry.abort().await;
    let fleet = site.platform.fleet();
    fleet.add(Listed {
        id: "entry-1".parse()?,
        address: "127.0.0.1:9".parse()?,
        zone: "zone-0".parse()?,
        rack: "rack-of-entries".parse()?,
        phase: Phase::Gone,
        boots: 1,
    });
    let departing: id::Instance = "stay-0".parse()?;
    fleet.set_phase(&departing, Phase::Leaving);
    let removed = async {
        loop {
            let instances = site.any_entry().admin.instances().await?;
            let row = instances
                .iter()
                .find(|found| found.row.value.id == departing);
            if row.is_none_or(|found| found.row.value.state == State::Leaving) {
                return eyre::Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(DEPARTURE_TIMEOUT, removed).await?
}

/// `entry-0` holds the controller's lease and reads the registrations once a minute. `late`
/// registers, loads the view, and is then partitioned from store and peers. It still sends to the
/// leaving instance, which must stay in `draining` until `late` acknowledges or is known to be
/// gone.
async fn just_registered() -> Result<()> {
    let mut site = Site::open(Layout::small(), platform::Options::default()).await?;
    site.start_with("entry-0", |mut parts| {
        parts.timers.roster = Duration::from_secs(60);
        parts
    })
    .await?;
    let seq = site.place_workers().await?;
    site.wait_until_applied(seq).await?;
    let [late, first] = ["late".parse()?, "entry-0".parse()?];
    site.network.partition(&late, &first);
    site.start("late").await?;
    let key = primroseroute_ledger::key::entry(&late);
    while site.ledger().table().read(&key).await?.is_none()
        || site.entry("late").entry.applied_seq() < seq
    {
        sleep(Duration::from_millis(5)).await;
    }
    site.platform
        .client("late")
        .faults()
        .set_outage(Some(Outage::Refuse));
    let departing: id::Instance = "stay-0".parse()?;
    site.platform.fleet().set_phase(&departing, Phase::Leaving);
    for _ in 0..100 {
        let instances = site.entry("entry-0").admin.instances().await?;
        let row = instances
            .iter()
            .find(|found| found.row.value.id == departing);
        let state = row.map(|found| found.row.value.state);
        assert!(
            matches!(state, Some(State::Serving | State::Draining)),
            "{state:?} while `late` may still send to it",
        );
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

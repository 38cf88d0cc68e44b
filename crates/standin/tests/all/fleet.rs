//! The lag of the list of instances, and reboots.

use crate::{cases, table::open};
use primroseroute_domain::id;
use primroseroute_platform::{
    error::Error,
    fleet::{Instances, Listed, Phase},
};
use primroseroute_standin::platform::{Platform, fleet::Reboot, tally::Kind};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

pub fn name(text: &str) -> id::Instance {
    text.parse().expect("the name is valid")
}

pub fn listed(text: &str) -> Listed {
    Listed {
        id: name(text),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "z1".parse().expect("the name is valid"),
        rack: "r1".parse().expect("the name is valid"),
        phase: Phase::Live,
        boots: 1,
    }
}

async fn shown(platform: &Platform) -> String {
    let list = platform.list().await.expect("no fault is set");
    let each = list
        .instances
        .iter()
        .map(|i| format!("{} {:?} {}", i.id, i.phase, i.boots));
    each.collect::<Vec<_>>().join(", ")
}

async fn lag() {
    // The list shows an instance, its leaving phase and its removal only after the lag.
    let platform = open();
    let fleet = platform.fleet();
    fleet.set_lag(10 * SECOND);
    fleet.add(listed("w1"));
    assert_eq!(shown(&platform).await, "");
    tokio::time::sleep(6 * SECOND).await;
    fleet.set_phase(&name("w1"), Phase::Leaving);
    tokio::time::sleep(4 * SECOND).await;
    assert_eq!(shown(&platform).await, "w1 Live 1");
    fleet.remove(&name("w1"));
    tokio::time::sleep(6 * SECOND).await;
    assert_eq!(shown(&platform).await, "w1 Leaving 1");
    assert!(fleet.truth().is_empty());
    tokio::time::sleep(4 * SECOND).await;
    assert_eq!(shown(&platform).await, "");
}

async fn reboot() {
    // The first response is lost, so the caller repeats the call; the instance reboots only once.
    let platform = open();
    let fleet = platform.fleet();
    fleet.add(listed("w1"));
    fleet.set_reboot(&name("w1"), Reboot::Takes(30 * SECOND));
    platform.faults().lose_answers(Kind::Reboot, 1);
    assert!(platform.reboot(&name("w1"), 1).await.is_err());
    assert_eq!(platform.reboot(&name("w1"), 1).await, Ok(()));
    assert_eq!(shown(&platform).await, "w1 Rebooting 1");
    tokio::time::sleep(30 * SECOND).await;
    assert_eq!(shown(&platform).await, "w1 Live 2");
    assert_eq!(platform.reboot(&name("w1"), 1).await, Ok(()));
    assert_eq!(shown(&platform).await, "w1 Live 2");
    fleet.set_phase(&name("w1"), Phase::Gone);
    let gone = platform.reboot(&name("w1"), 2).await;
    assert!(matches!(gone, Err(Error::Invalid(_))), "{gone:?}");
}

async fn hangs() {
    let platform = open();
    platform.fleet().add(listed("w1"));
    platform.fleet().set_reboot(&name("w1"), Reboot::Hangs);
    assert_eq!(platform.reboot(&name("w1"), 1).await, Ok(()));
    tokio::time::sleep(86_400 * SECOND).await;
    assert_eq!(shown(&platform).await, "w1 Rebooting 1");
}

cases! {
    list_lags => lag();
    reboot_is_idempotent_by_boots => reboot();
    reboot_may_never_end => hangs();
}

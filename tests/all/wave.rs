//! Maintenance waves end to end: under load, halted, paused, and continued by the next controller.

use crate::{TIMEOUT, cases};
use eyre::{Result, ensure};
use http::Method;
use primroseroute_api::{Move, Order, Start, Wave};
use primroseroute_domain::{id, outcome::Code};
use primroseroute_fleet::wave::{self, Command, State};
use primroseroute_platform::fleet::Phase;
use primroseroute_testbed::{
    Caller, Layout, Said, Site, caller_token,
    platform::{self, fleet::Reboot},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

cases! {
    wave_reboots_every_instance_once_and_interrupts_no_request => rolls_out();
    wave_continues_under_another_controller => continues_after_a_kill();
    wave_halts_if_its_first_instance_never_returns => halts();
    overlapping_wave_is_rejected => overlap();
    wave_that_a_budget_never_allows_is_rejected => budget_forbids();
    paused_wave_starts_no_further_maintenance => pause();
    moved_instance_serves_its_new_pool_only => moves();
}

const REBOOT: Duration = Duration::from_millis(150);

/// Two entries, and pools `stay` of five workers and `rest` of four.
async fn site() -> Result<Site> {
    let layout = Layout {
        pools: vec![("stay".to_owned(), 5), ("rest".to_owned(), 4)],
        ..Layout::small()
    };
    let options = platform::Options {
        reboot: REBOOT,
        ..platform::Options::default()
    };
    let mut site = Site::open(layout, options).await?;
    site.converge().await?;
    Ok(site)
}

fn order(name: &str, pools: &[&str]) -> Result<wave::Order> {
    let pools = pools
        .iter()
        .map(|pool| pool.parse())
        .collect::<Result<_, _>>()?;
    Ok(wave::Order {
        id: name.parse()?,
        scope: wave::Scope {
            pools,
            ..wave::Scope::default()
        },
        window: wave::Window::default(),
        limits: wave::Limits::default(),
    })
}

async fn start(site: &Site, order: wave::Order) -> Result<(), primroseroute_client::Error> {
    let start = Start {
        order,
        reason: "test".into(),
    };
    site.any_entry()
        .admin
        .start_wave(&start)
        .await
        .map(|_accepted| ())
}

async fn find(site: &Site, name: &str) -> Result<Wave> {
    let name: id::Wave = name.parse()?;
    let waves = site.any_entry().admin.waves().await?;
    let found = waves.into_iter().find(|wave| *wave.row.value.id() == name);
    found.ok_or_else(|| eyre::eyre!("no wave {name}"))
}

async fn wait_for_wave(site: &Site, name: &str, wanted: impl Fn(&Wave) -> bool) -> Result<Wave> {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let found = find(site, name).await?;
        if wanted(&found) {
            return Ok(found);
        }
        ensure!(
            tokio::time::Instant::now() < deadline,
            "the wave stays {found:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn boots(site: &Site) -> Vec<u64> {
    site.platform
        .fleet()
        .truth()
        .iter()
        .map(|listed| listed.boots)
        .collect()
}

/// Callers send throughout. Every instance reboots once, no request is interrupted, and no pool
/// serves with fewer instances than promised.
async fn rolls_out() -> Result<()> {
    let site = site().await?;
    let end = Arc::new(AtomicBool::new(false));
    let mut callers = tokio::task::JoinSet::new();
    for pool in ["stay", "rest"] {
        let to = site.entry("entry-0").callers;
        let end = Arc::clone(&end);
        callers.spawn(async move {
            let caller = Caller::open(caller_token(pool));
            let mut completed = 0;
            while !end.load(Ordering::SeqCst) {
                let path = format!("/{pool}/a");
                let answer = caller.send(to, Method::POST, &path, &[], "", TIMEOUT).await;
                assert_eq!(answer.said, Said::Completed, "{answer:?}");
                completed += 1;
            }
            completed
        });
    }
    start(&site, order("w", &[])?).await?;
    let mut min_serving = (u32::MAX, u32::MAX);
    let done = loop {
        for pool in site.any_entry().admin.pools().await? {
            let lowest = if pool.name.as_str() == "stay" {
                &mut min_serving.0
            } else {
                &mut min_serving.1
            };
            *lowest = pool.serving.min(*lowest);
        }
        let found = find(&site, "w").await?;
        if found.row.value.state != State::Running {
            break found;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    end.store(true, Ordering::SeqCst);
    while let Some(completed) = callers.join_next().await {
        assert!(completed? > 0);
    }
    assert_eq!(done.row.value.state, State::Done, "{done:?}");
    assert_eq!((done.progress.done, done.progress.failed), (9, 0));
    assert_eq!(boots(&site), vec![2; 9]);
    assert!(
        min_serving.0 >= 4 && min_serving.1 >= 3,
        "a pool served with too few instances: {min_serving:?}"
    );
    Ok(())
}

/// The controller is killed in the middle of a wave. The next one continues from the stored rows
/// alone, and no instance reboots twice. The operator removes the killed entry, or drains would
/// wait for its acknowledgement.
async fn continues_after_a_kill() -> Result<()> {
    let mut site = site().await?;
    start(&site, order("w", &[])?).await?;
    wait_for_wave(&site, "w", |wave| wave.progress.done >= 1).await?;
    let holder = loop {
        if let Some(holder) = site.any_entry().admin.status().await?.controller {
            break holder;
        }
    };
    site.take_entry(holder.as_str()).entry.abort().await;
    let order = Order {
        if_version: None,
        reason: "killed".into(),
        force: false,
    };
    site.any_entry().admin.remove(&holder, &order).await?;
    let done = wait_for_wave(&site, "w", |wave| wave.row.value.state != State::Running).await?;
    assert_eq!((done.row.value.state, done.progress.done), (State::Done, 9));
    assert_eq!(boots(&site), vec![2; 9]);
    Ok(())
}

/// The first instance never returns from its reboot. The wave halts by itself with a reason, and
/// every other instance serves.
async fn halts() -> Result<()> {
    let mut site = site().await?;
    for name in site.workers.keys() {
        site.platform.fleet().set_reboot(name, Reboot::Hangs);
    }
    // Replaces the entries by one whose controller gives up on the instance after a second.
    for name in ["entry-0", "entry-1"] {
        site.take_entry(name).entry.stop().await;
    }
    site.start_with("entry-2", |parts| {
        let mut lifecycle = parts.lifecycle;
        lifecycle.maintenance_seconds = 1;
        primroseroute_entry::Components { lifecycle, ..parts }
    })
    .await?;
    let seq = site.ledger().head().await?.seq;
    site.wait_until_applied(seq).await?;
    start(&site, order("w", &["stay"])?).await?;
    let halted = wait_for_wave(&site, "w", |wave| wave.row.value.state != State::Running).await?;
    assert_eq!(halted.row.value.state, State::Halted, "{halted:?}");
    assert!(halted.row.value.reason.is_some());
    let pools = site.any_entry().admin.pools().await?;
    let stay = pools
        .iter()
        .find(|pool| pool.name.as_str() == "stay")
        .expect("the pool exists");
    assert_eq!(stay.serving, 4);
    Ok(())
}

fn code<T: std::fmt::Debug>(result: Result<T, primroseroute_client::Error>) -> Option<Code> {
    result.expect_err("the request is rejected").code()
}

async fn overlap() -> Result<()> {
    let site = site().await?;
    start(&site, order("one", &["stay"])?).await?;
    assert_eq!(
        code(start(&site, order("two", &[])?).await),
        Some(Code::WaveOverlaps)
    );
    assert_eq!(
        code(start(&site, order("one", &["rest"])?).await),
        Some(Code::WaveStateForbids)
    );
    start(&site, order("three", &["rest"])?).await?;
    for name in ["one", "three"] {
        wait_for_wave(&site, name, |wave| wave.row.value.state == State::Done).await?;
    }
    assert_eq!(boots(&site), vec![2; 9]);
    Ok(())
}

async fn budget_forbids() -> Result<()> {
    let site = site().await?;
    let mut template = site.templates().remove(0);
    template.pools[0].budget.promised = 5;
    let apply = primroseroute_api::Apply {
        template,
        if_version: None,
        reason: "test".into(),
    };
    site.any_entry().admin.apply(&apply).await?;
    let refused = site
        .any_entry()
        .admin
        .plan_wave(&order("w", &["stay"])?)
        .await;
    let error = refused.expect_err("the budget never allows it");
    assert_eq!(error.code(), Some(Code::WaveCannotFinish));
    assert!(error.to_string().contains("stay"), "{error}");
    Ok(())
}

async fn pause() -> Result<()> {
    let site = site().await?;
    start(&site, order("w", &[])?).await?;
    wait_for_wave(&site, "w", |wave| wave.progress.done >= 1).await?;
    let name = "w".parse()?;
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: false,
    };
    site.any_entry()
        .admin
        .command_wave(&name, Command::Pause, &order)
        .await?;
    let paused = wait_for_wave(&site, "w", |wave| wave.progress.out == 0).await?;
    let before = boots(&site);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        boots(&site),
        before,
        "the wave continued while it was paused"
    );
    assert!(paused.progress.pending > 0);
    site.any_entry()
        .admin
        .command_wave(&name, Command::Resume, &order)
        .await?;
    let done = wait_for_wave(&site, "w", |wave| wave.row.value.state == State::Done).await?;
    assert_eq!(done.progress.done, 9);
    Ok(())
}

/// An instance moves from one pool to another. Callers of both pools are served throughout, and
/// once the instance serves the new pool no request of the old one reaches it.
async fn moves() -> Result<()> {
    let site = site().await?;
    // The pool that loses an instance must still meet its promise, or placement would move one
    // back.
    let mut template = site.templates().remove(0);
    template.pools[0].budget.promised = 2;
    let apply = primroseroute_api::Apply {
        template,
        if_version: None,
        reason: "test".into(),
    };
    site.any_entry().admin.apply(&apply).await?;
    let moved: id::Instance = "stay-0".parse()?;
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: false,
    };
    let order = Move {
        pool: "rest".parse()?,
        order,
    };
    site.any_entry().admin.move_to(&moved, &order).await?;
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let instances = site.any_entry().admin.instances().await?;
        let found = instances
            .iter()
            .find(|found| found.row.value.id == moved)
            .expect("the instance is listed");
        let row = &found.row.value;
        if row
            .pool
            .as_ref()
            .is_some_and(|pool| pool.as_str() == "rest")
            && row.state.takes_requests()
        {
            site.wait_until_applied(found.row.version).await?;
            break;
        }
        ensure!(
            tokio::time::Instant::now() < deadline,
            "the instance does not serve the new pool: {row:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let caller = Caller::open(caller_token("stay"));
    for name in ["entry-0", "entry-1"] {
        for _ in 0..20 {
            let to = site.entry(name).callers;
            let answer = caller
                .send(to, Method::GET, "/stay/a", &[], "", TIMEOUT)
                .await;
            assert_ne!(answer.headers["x-backend"], "stay-0", "{answer:?}");
        }
    }
    let phases = site.platform.fleet().truth();
    assert!(phases.iter().all(|listed| listed.phase == Phase::Live));
    Ok(())
}

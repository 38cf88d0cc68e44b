//! Entries as separate processes connected over TCP: stopped, killed and suspended.

use crate::TIMEOUT;
use eyre::{Result, ensure};
use http::Method;
use primroseroute_api::{Apply, Order};
use primroseroute_platform::fleet::{Listed, Phase};
use primroseroute_testbed::{
    Admin, Caller, OPERATOR_TOKEN, Said, backend, caller_token, platform,
    process::{self, Process},
    template, token_hash,
};
use rustix::process::Signal;
use std::{
    net::{Ipv4Addr, SocketAddr},
    process::ExitStatus,
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Defines one multi-threaded tokio test per case; a case that returns an error fails.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> Result<()> {
            $body.await
        }
    )*};
}

cases! {
    processes_serve_drain_and_stop_with_success => serve_drain_stop();
    killed_process_is_taken_over => killed();
    suspended_process_applies_a_newer_view_on_resume => suspended();
}

/// An entry as a process.
struct Entry {
    process: Process,
    callers: SocketAddr,
    admin: Admin,
}

impl Entry {
    /// Starts the entry `name` and waits until it serves callers.
    async fn start(name: &str, platform: &str) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let file = folder.path().join("settings.yaml");
        std::fs::write(&file, settings(name, platform))?;
        let program = env!("CARGO_BIN_EXE_primroseroute");
        let (process, started) = process::serve(program, &file, TIMEOUT).await?;
        Ok(Self {
            process,
            callers: started.callers,
            admin: Admin::open(started.admin, OPERATOR_TOKEN),
        })
    }

    async fn wait_for_exit(&mut self) -> Result<ExitStatus> {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.process.exit_status()? {
                return Ok(status);
            }
            ensure!(Instant::now() < deadline, "the process does not exit");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

fn settings(name: &str, platform: &str) -> String {
    let operator = token_hash(OPERATOR_TOKEN).0;
    format!(
        "entry: {{name: {name}, zone: zone-0, region: region-0}}\n\
         listen: {{callers: 127.0.0.1:0, admin: 127.0.0.1:0, peers: 127.0.0.1:0}}\n\
         platform: {{url: {platform}}}\n\
         secrets:\n  operators: [{{name: test, hash: {operator}}}]\n  peer-key: {{env: TEST_PEER_KEY}}\n\
         timers: {{poll: 200ms, drain-grace: 100ms}}\n"
    )
}

/// A platform stand-in behind HTTP, and workers.
struct Fixture {
    server: primroseroute_testbed::server::Server,
    workers: Vec<backend::Backend>,
}

impl Fixture {
    /// Starts a platform that lists three workers as live.
    async fn open() -> Result<Self> {
        let platform = platform::Platform::open(1, platform::Options::default());
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = primroseroute_testbed::server::Server::bind(platform.clone(), any).await?;
        let mut workers = Vec::new();
        for index in 0..3 {
            let name = format!("w-{index}");
            let options = backend::Options {
                name: name.as_str().into(),
                ..Default::default()
            };
            let worker = backend::Backend::bind(any, options).await?;
            platform.fleet().add(Listed {
                id: name.parse()?,
                address: worker.address(),
                zone: format!("zone-{index}").parse()?,
                rack: format!("rack-{index}").parse()?,
                phase: Phase::Live,
                boots: 1,
            });
            workers.push(worker);
        }
        Ok(Self { server, workers })
    }

    async fn start(&self, name: &str) -> Result<Entry> {
        Entry::start(name, &self.server.url()).await
    }

    /// Starts two entries and waits until both see all three workers serving.
    async fn two_entries(&self) -> Result<(Entry, Entry)> {
        let (a, b) = (self.start("entry-a").await?, self.start("entry-b").await?);
        let template = template("stay", 1, 3);
        let order = Apply {
            template,
            if_version: None,
            reason: "test".into(),
        };
        a.admin.apply(&order).await?;
        for entry in [&a, &b] {
            wait_until_serving(entry, 3).await?;
        }
        Ok((a, b))
    }

    fn executions(&self) -> u64 {
        self.workers
            .iter()
            .map(|worker| worker.count().executions)
            .sum()
    }
}

/// Waits until `entry` reports `count` serving instances.
async fn wait_until_serving(entry: &Entry, count: u32) -> Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let status = entry.admin.status().await?;
        if status.instances.get("serving") == Some(&count) {
            return Ok(());
        }
        ensure!(Instant::now() < deadline, "{status:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

async fn get(entry: &Entry) -> Said {
    let caller = Caller::open(caller_token("stay"));
    caller
        .send(entry.callers, Method::GET, "/stay/beds", &[], "", TIMEOUT)
        .await
        .said
}

async fn serve_drain_stop() -> Result<()> {
    let fixture = Fixture::open().await?;
    let (mut a, b) = fixture.two_entries().await?;
    for entry in [&a, &b] {
        assert_eq!(get(entry).await, Said::Completed);
    }
    assert_eq!(fixture.executions(), 2);

    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: true,
    };
    b.admin.drain(&"w-0".parse()?, &order).await?;
    for entry in [&a, &b] {
        wait_until_serving(entry, 2).await?;
    }
    let before = fixture.workers[0].count().executions;
    for _ in 0..20 {
        assert_eq!(get(&a).await, Said::Completed);
        assert_eq!(get(&b).await, Said::Completed);
    }
    assert_eq!(fixture.workers[0].count().executions, before);

    a.process.signal(Signal::TERM)?;
    assert!(a.wait_for_exit().await?.success());
    assert_eq!(get(&b).await, Said::Completed);
    Ok(())
}

/// One entry's process is killed. Callers of the other are still served, and changes are accepted
/// and applied there, whichever of the two held the controller's lease.
async fn killed() -> Result<()> {
    let fixture = Fixture::open().await?;
    let (mut a, b) = fixture.two_entries().await?;
    a.process.signal(Signal::KILL)?;
    a.wait_for_exit().await?;
    assert_eq!(get(&b).await, Said::Completed);
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: true,
    };
    b.admin.drain(&"w-0".parse()?, &order).await?;
    wait_until_serving(&b, 2).await?;
    b.admin.release(&"w-0".parse()?, &order).await?;
    wait_until_serving(&b, 3).await
}

/// One entry's process is suspended while a worker is drained, and resumes with its old view. It
/// may send by that view briefly; then it must apply the drain and send the worker nothing.
async fn suspended() -> Result<()> {
    let fixture = Fixture::open().await?;
    let (a, b) = fixture.two_entries().await?;
    a.process.signal(Signal::STOP)?;
    let order = Order {
        if_version: None,
        reason: "test".into(),
        force: true,
    };
    b.admin.drain(&"w-0".parse()?, &order).await?;
    wait_until_serving(&b, 2).await?;
    a.process.signal(Signal::CONT)?;
    wait_until_serving(&a, 2).await?;
    let before = fixture.workers[0].count().executions;
    for _ in 0..20 {
        assert_eq!(get(&a).await, Said::Completed);
    }
    assert_eq!(fixture.workers[0].count().executions, before);
    Ok(())
}

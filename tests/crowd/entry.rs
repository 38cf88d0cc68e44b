//! An entry of the job path as a process, with the store of the platform's stand-in.

use crate::client;
use eyre::{OptionExt, Result, ensure};
use primroseroute_adapter_standin::{
    Server,
    settings::{self, HOST, Machine, QUEUE},
};
use primroseroute_testbed::process::{Process, logged_fields, unread_bytes};
use serde::Deserialize;
use std::{
    net::{Ipv4Addr, SocketAddr},
    process::{Command, Stdio},
    time::Duration,
};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Descriptors that a machine sets aside for files; sockets share the others.
const FILE_DESCRIPTORS: usize = 200;

/// Interval between two looks at a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Looks in a row without a change after which a process has taken in what it was sent.
const STEADY_SAMPLES: usize = 20;

/// How long a process may take to become ready, to take in what it was sent, or to end.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The machine of a test: less memory and fewer descriptors than any of a deployment, so that a small
/// crowd shows what bounds them.
pub(crate) const SMALL_MACHINE: Machine = Machine {
    memory_mb: 64,
    descriptors: 700,
};

/// A small job.
pub(crate) const JOB: &str =
    r#"{"Spec":"100","Steps":[{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":100}]}"#;

/// A running entry; it is killed on drop.
pub(crate) struct Entry {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    process: Process,
    machine: Machine,
    _platform: Server,
    _folder: TempDir,
}

/// What an entry logs as it starts.
#[derive(Deserialize)]
struct Started {
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
}

impl Entry {
    /// Starts an entry on `machine` and waits until it is ready.
    pub(crate) async fn start(machine: Machine) -> Result<Self> {
        let platform = Server::bind().await?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let folder = tempfile::tempdir()?;
        let file = folder.path().join("node.json");
        let text = settings::file([any, any], platform.address(), machine);
        std::fs::write(&file, text)?;
        let mut command = Command::new(env!("CARGO_BIN_EXE_primroseroute"));
        command
            .args(["site", "--metrics-port", "0", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped());
        let mut process = Process::spawn(&mut command)?;
        let output = process.child().stdout.take();
        let output = output.ok_or_eyre("stdout isn't piped")?;
        let started: Started = logged_fields(output, "entry started", TIMEOUT).await?;
        let mut entry = Self {
            callers: started.callers,
            readiness: started.readiness,
            metrics: started.metrics,
            process,
            machine,
            _platform: platform,
            _folder: folder,
        };
        let deadline = Instant::now() + TIMEOUT;
        while entry.probe().await.ok() != Some(200) {
            ensure!(
                entry.process.exit_status()?.is_none(),
                "the entry has ended"
            );
            ensure!(Instant::now() < deadline, "the entry doesn't become ready");
            sleep(SAMPLE_INTERVAL).await;
        }
        Ok(entry)
    }

    pub(crate) fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// The status of a readiness check.
    pub(crate) async fn probe(&self) -> Result<u16> {
        let request = client::head("GET /ready", HOST, "connection: close\r\n\r\n");
        client::answer(self.readiness, request.as_bytes()).await
    }

    /// The status of a metrics request.
    pub(crate) async fn read_metrics(&self) -> Result<u16> {
        let request = client::head("GET /metrics", HOST, "connection: close\r\n\r\n");
        client::answer(self.metrics, request.as_bytes()).await
    }

    /// The status of the submission of a job.
    pub(crate) async fn submit(&self, id: u64, body: &str) -> Result<u16> {
        let mut request = submission(id, &format!("content-length: {}\r\n\r\n", body.len()));
        request.push_str(body);
        client::answer(self.callers, request.as_bytes()).await
    }

    /// Waits until the entry has taken in what it was sent, and checks it: it lives, its memory and its
    /// sockets are within the limits of its machine, and an ordinary job is accepted.
    pub(crate) async fn check(&mut self) -> Result<()> {
        let memory = self.machine.memory_mb * 1_000_000;
        let sockets = self.machine.descriptors - FILE_DESCRIPTORS;
        self.check_within(memory, sockets).await?;
        let status = self.submit(u64::MAX, JOB).await?;
        ensure!(status == 200, "an ordinary submission is answered {status}");
        self.check_within(memory, sockets).await?;
        ensure!(self.probe().await? == 200, "the entry isn't ready");
        Ok(())
    }

    async fn check_within(&mut self, memory: u64, sockets: usize) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        let (mut last, mut steady) = (None, 0);
        let mut most_sockets = 0;
        while steady < STEADY_SAMPLES && Instant::now() < deadline {
            if let Some(status) = self.process.exit_status()? {
                eyre::bail!("the entry has ended: {status}");
            }
            let usage = self.process.usage()?;
            most_sockets = most_sockets.max(usage.sockets);
            let now = (usage.sockets, unread_bytes(self.callers)?);
            steady = if last == Some(now) { steady + 1 } else { 0 };
            last = Some(now);
            sleep(SAMPLE_INTERVAL).await;
        }
        let usage = self.process.usage()?;
        let unread = unread_bytes(self.callers)?;
        println!("{usage:?}, {unread} bytes unread, {most_sockets} sockets at most");
        let held = usage.peak_memory.max(usage.memory + unread);
        ensure!(held <= memory, "{held} bytes of memory, of {memory}");
        ensure!(
            most_sockets <= sockets,
            "{most_sockets} sockets, of {sockets}"
        );
        Ok(())
    }

    /// Waits until the process has ended by itself; fails if it doesn't.
    pub(crate) async fn wait_for_exit(&mut self) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        while self.process.exit_status()?.is_none() {
            ensure!(Instant::now() < deadline, "the process doesn't end");
            sleep(SAMPLE_INTERVAL).await;
        }
        Ok(())
    }
}

/// The head of the submission of a job, with the fields that end it.
pub(crate) fn submission(id: u64, fields: &str) -> String {
    client::head(&format!("POST {QUEUE}{id:016x}"), HOST, fields)
}

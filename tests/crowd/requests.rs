//! Bodies of the request path and of the operators' API that stop short of their end.

use crate::{
    cases,
    client::{self, Crowd},
};
use eyre::{Result, ensure};
use http::Method;
use primroseroute_api::Apply;
use primroseroute_domain::id;
use primroseroute_platform::fleet::{Listed, Phase};
use primroseroute_testbed::{
    Admin, Caller, OPERATOR_TOKEN, Said, backend, caller_token, platform,
    process::{self, Process},
    server::Server,
    template, token_hash,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Memory that an entry spends for control at most.
const MEMORY_BYTES: u64 = 128_000_000;

/// Largest body of a caller's request by default.
const CALLER_BODY_BYTES: usize = 10_485_760;

/// Largest body of an operator's request.
const OPERATOR_BODY_BYTES: usize = 1 << 20;

/// Interval between two looks at a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Looks in a row at a process whose memory doesn't grow.
const STEADY_SAMPLES: usize = 20;

const TIMEOUT: Duration = Duration::from_secs(60);

cases! {
    /// Claimed requests, whose bodies are kept whole until they are sent on.
    claimed_requests => claimed();
    /// Bodies of operators' requests.
    operators_requests => operators();
}

/// An entry of the request path with one worker.
struct Entry {
    callers: SocketAddr,
    admin: SocketAddr,
    process: Process,
    _platform: Server,
    _worker: backend::Backend,
    _folder: TempDir,
}

impl Entry {
    async fn start() -> Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = platform::Platform::open(1, platform::Options::default());
        let server = Server::bind(platform.clone(), any).await?;
        let name: id::Instance = "w-0".parse()?;
        let options = backend::Options {
            name: "w-0".into(),
            ..Default::default()
        };
        let worker = backend::Backend::bind(any, options).await?;
        platform.fleet().add(Listed {
            id: name,
            address: worker.address(),
            zone: "zone-0".parse()?,
            rack: "rack-0".parse()?,
            phase: Phase::Live,
            boots: 1,
        });
        let folder = tempfile::tempdir()?;
        let file = folder.path().join("settings.yaml");
        let (url, operator) = (server.url(), token_hash(OPERATOR_TOKEN).0);
        std::fs::write(
            &file,
            format!(
                "entry: {{name: entry-1, zone: zone-0, region: region-0}}\n\
                 listen: {{callers: '{any}', admin: '{any}', peers: '{any}'}}\n\
                 platform: {{url: {url}}}\n\
                 secrets:\n  operators: [{{name: test, hash: {operator}}}]\n  peer-key: {{env: TEST_PEER_KEY}}\n"
            ),
        )?;
        let program = env!("CARGO_BIN_EXE_primroseroute");
        let (process, started) = process::serve(program, &file, TIMEOUT).await?;
        let entry = Self {
            callers: started.callers,
            admin: started.admin,
            process,
            _platform: server,
            _worker: worker,
            _folder: folder,
        };
        let order = Apply {
            template: template("stay", 1, 1),
            if_version: None,
            reason: "test".into(),
        };
        let operator = Admin::open(started.admin, OPERATOR_TOKEN);
        let deadline = Instant::now() + TIMEOUT;
        while operator.apply(&order).await.is_err() {
            ensure!(Instant::now() < deadline, "the template can't be applied");
            sleep(SAMPLE_INTERVAL).await;
        }
        while entry.ask().await != Said::Completed {
            ensure!(Instant::now() < deadline, "no worker serves");
            sleep(SAMPLE_INTERVAL).await;
        }
        Ok(entry)
    }

    /// The outcome of an ordinary request.
    async fn ask(&self) -> Said {
        let caller = Caller::open(caller_token("stay"));
        let sent = caller.send(self.callers, Method::GET, "/stay/beds", &[], "", TIMEOUT);
        sent.await.said
    }

    /// Waits until memory stays the same, and checks it, an ordinary request and an operator's.
    async fn check(&mut self) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        let (mut last, mut steady) = (0, 0);
        while steady < STEADY_SAMPLES && Instant::now() < deadline {
            if let Some(status) = self.process.exit_status()? {
                eyre::bail!("the entry has ended: {status}");
            }
            let now = self.process.usage()?.peak_memory;
            steady = if last == now { steady + 1 } else { 0 };
            last = now;
            sleep(SAMPLE_INTERVAL).await;
        }
        println!("{:?}", self.process.usage()?);
        ensure!(
            last <= MEMORY_BYTES,
            "{last} bytes of memory, of {MEMORY_BYTES}"
        );
        let said = self.ask().await;
        ensure!(
            said == Said::Completed,
            "an ordinary request is answered {said:?}"
        );
        Admin::open(self.admin, OPERATOR_TOKEN).status().await?;
        Ok(())
    }
}

async fn claimed() -> Result<()> {
    let mut entry = Entry::start().await?;
    let token = caller_token("stay");
    let fields = format!(
        "authorization: Bearer {token}\r\nidempotency-key: one\r\n\
         request-timeout-ms: 60000\r\ncontent-length: {CALLER_BODY_BYTES}\r\n\r\n"
    );
    let head = client::head("POST /stay/holds", "stay", &fields);
    let body = vec![b' '; CALLER_BODY_BYTES - 1];
    let crowd = Crowd::open(entry.callers, 30, vec![head.into(), body.into()]).await;
    ensure!(crowd.len() > 0, "no client is connected");
    entry.check().await
}

async fn operators() -> Result<()> {
    let mut entry = Entry::start().await?;
    let fields = format!(
        "authorization: Bearer {OPERATOR_TOKEN}\r\ncontent-length: {OPERATOR_BODY_BYTES}\r\n\r\n"
    );
    let head = client::head("POST /v1/diff", "admin", &fields);
    let body = vec![b' '; OPERATOR_BODY_BYTES - 1];
    let crowd = Crowd::open(entry.admin, 300, vec![head.into(), body.into()]).await;
    ensure!(crowd.len() > 0, "no client is connected");
    entry.check().await
}

//! The platform over HTTP: every call, and the result that the client returns for each kind of failure.

use crate::{
    fleet::{listed, name},
    table::{open, put, writes},
};
use bytes::Bytes;
use primroseroute_platform::{
    error::Error,
    fleet::{Instances, Phase},
    http::{
        Client, Options,
        wire::{self, Call},
    },
    object::Store,
    table::{Commit, Condition, Revision, Scan, Table, Txn, Write},
    task::{Resources, Start, Tasks, Token},
};
use primroseroute_standin::{
    backend::{self, Backend, Mode},
    platform::{
        Platform,
        fault::{Outage, Rates},
        tally::Kind,
    },
    server::Server,
};
use std::{net::SocketAddr, time::Duration};

/// Far longer than any call here takes; no assertion depends on it.
const LONG: Duration = Duration::from_secs(60);

/// Short, for calls that never get a response.
const SHORT: Duration = Duration::from_millis(50);

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn client(url: String, timeout: Duration) -> Client {
    let caller = "entry-1".into();
    Client::open(&Options {
        url,
        timeout,
        caller,
    })
    .expect("the URL is valid")
}

async fn serve(platform: &Platform) -> Server {
    let bound = Server::bind(platform.clone(), loopback()).await;
    bound.expect("loopback has a free port")
}

async fn misbehaving(mode: Mode, delay: Duration) -> Backend {
    let options = backend::Options {
        mode,
        delay,
        ..backend::Options::default()
    };
    let bound = Backend::bind(loopback(), options).await;
    bound.expect("loopback has a free port")
}

async fn write(client: &Client) -> Result<Commit, Error> {
    client.commit(writes(vec![put("a", "1")])).await
}

/// A write must fail as unknown and a read as unavailable.
async fn proves_nothing(client: &Client) {
    let written = write(client).await;
    assert!(matches!(written, Err(Error::Unknown(_))), "{written:?}");
    let read = client.read(&"a".into()).await;
    assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
}

#[tokio::test]
async fn table_and_objects_travel_whole() {
    let platform = open();
    let server = serve(&platform).await;
    let client = client(server.url(), LONG);
    let binary = Bytes::from_static(&[0xff, 0, 0x80]);
    let txn = Txn {
        conditions: vec![Condition::Absent("b".into())],
        writes: vec![
            put("a", "{\"ü\":1}"),
            Write::Put("b".into(), binary.clone()),
        ],
    };
    assert_eq!(
        client.commit(txn.clone()).await,
        Ok(Commit::Committed(Revision(1)))
    );
    assert_eq!(client.commit(txn).await, Ok(Commit::Conflict("b".into())));
    let scan = Scan {
        prefix: "".into(),
        after: None,
        limit: 9,
    };
    assert_eq!(client.scan(scan.clone()).await, platform.scan(scan).await);
    assert_eq!(
        client.read(&"b".into()).await,
        platform.read(&"b".into()).await
    );
    assert_eq!(client.read(&"c".into()).await, Ok(None));
    assert_eq!(client.put("o/1".into(), binary.clone()).await, Ok(()));
    assert_eq!(client.get("o/1").await, Ok(Some(binary)));
    assert_eq!(Store::list(&client, "o/").await, Ok(vec!["o/1".into()]));
    assert_eq!(platform.client("entry-1").tally().of(Kind::Commit).calls, 2);
}

#[tokio::test]
async fn instances_and_tasks_travel_whole() {
    let platform = open();
    platform.fleet().add(listed("w1"));
    let server = serve(&platform).await;
    let client = client(server.url(), LONG);
    let job = "j".parse().expect("the name is valid");
    let start = Start {
        job,
        instance: name("w1"),
        token: Token(1),
        resources: Resources::default(),
        lease: LONG,
    };
    assert_eq!(client.start(start.clone()).await, Ok(()));
    assert_eq!(client.renew(&start.job, Token(1), LONG).await, Ok(()));
    assert_eq!(client.checkpoint(&start.job, Token(1)).await, Ok(()));
    assert_eq!(client.throttle(&start.job, Token(1), 0.5).await, Ok(()));
    assert_eq!(client.stop(&start.job, Token(1)).await, Ok(()));
    let reports = client.reports().await.expect("no fault is set");
    assert_eq!(reports[0].job, start.job);
    let fenced = client.renew(&start.job, Token(1), LONG).await;
    assert!(matches!(fenced, Err(Error::Invalid(_))), "{fenced:?}");
    assert_eq!(client.reboot(&name("w1"), 1).await, Ok(()));
    let list = Instances::list(&client).await.expect("no fault is set");
    assert_eq!(list.instances[0].phase, Phase::Rebooting);
}

#[tokio::test]
async fn no_connection_proves_no_effect() {
    let server = serve(&open()).await;
    let client = client(server.url(), LONG);
    server.stop();
    while tokio::net::TcpStream::connect(server.address())
        .await
        .is_ok()
    {
        tokio::task::yield_now().await;
    }
    let written = write(&client).await;
    assert!(matches!(written, Err(Error::Unavailable(_))), "{written:?}");
}

#[tokio::test]
async fn refusals_say_that_nothing_happened() {
    let platform = open();
    let server = serve(&platform).await;
    let client = client(server.url(), LONG);
    platform.faults().set_outage(Some(Outage::Refuse));
    let refused = write(&client).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    platform.faults().clear();
    platform.faults().set_rates(Some(Rates {
        writes: 0,
        reads: 0,
    }));
    assert_eq!(client.read(&"a".into()).await, Err(Error::Throttled));
}

#[tokio::test]
async fn lost_answer_is_unknown_and_not_repeated() {
    // The commit takes effect, then its connection closes. The caller gets `Unknown`; the client must
    // not retry the call on its own.
    let platform = open();
    let server = serve(&platform).await;
    let client = client(server.url(), LONG);
    assert!(write(&client).await.is_ok());
    platform.faults().lose_answers(Kind::Commit, 1);
    let lost = write(&client).await;
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    let row = client.read(&"a".into()).await.expect("no fault is set");
    assert_eq!(row.expect("the row was written").revision, Revision(2));
}

/// Declares a test per case: how the server misbehaves after it has received the call.
macro_rules! proves_nothing {
    ($($name:ident => $mode:expr, executes $executes:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let backend = misbehaving($mode, Duration::ZERO).await;
            proves_nothing(&client(format!("http://{}", backend.address()), LONG)).await;
            assert_eq!(backend.count().executions, $executes);
        }
    )*};
}

proves_nothing! {
    reset_proves_nothing => Mode::Reset, executes 2;
    short_answer_proves_nothing => Mode::Truncated, executes 2;
    missing_last_chunk_proves_nothing => Mode::TruncatedChunks, executes 2;
    garbage_proves_nothing => Mode::Garbage, executes 2;
    strange_body_proves_nothing => Mode::Ok, executes 2;
    bare_503_proves_nothing => Mode::FailAll, executes 0;
}

#[tokio::test]
async fn timeout_proves_nothing() {
    // The server has received the call and does not respond. The write must not count as rejected.
    let backend = misbehaving(Mode::Ok, 60 * LONG).await;
    proves_nothing(&client(format!("http://{}", backend.address()), SHORT)).await;
}

#[tokio::test]
async fn late_answer_is_not_taken_for_the_next() {
    // A caller drops a read, and its response arrives while the next read waits on the same client.
    // The next read must get its own response.
    let platform = open();
    let rows = vec![put("a", "1"), put("b", "2")];
    platform
        .commit(writes(rows))
        .await
        .expect("no fault is set");
    let server = serve(&platform).await;
    let client = client(server.url(), LONG);
    platform.faults().set_latency(4 * SHORT, Duration::ZERO);
    let arrived = async {
        while platform.tally().of(Kind::Read).calls == 0 {
            tokio::task::yield_now().await;
        }
    };
    let key = "a".into();
    tokio::select! {
        () = arrived => {}
        early = client.read(&key) => panic!("response before the call arrived: {early:?}"),
    }
    platform.faults().set_latency(8 * SHORT, Duration::ZERO);
    let row = client.read(&"b".into()).await.expect("no fault is set");
    assert_eq!(row.map(|row| row.value), Some("2".into()));
}

#[test]
fn odd_urls_are_refused() {
    for url in [
        "platform:7000",
        "https://platform",
        "http://",
        "http://p/?q",
        "http://[p",
    ] {
        let options = Options {
            url: url.into(),
            timeout: LONG,
            caller: "e".into(),
        };
        assert!(Client::open(&options).is_err(), "{url}");
    }
}

#[test]
fn page_lists_every_call() {
    let page = include_str!("../../../../docs/platform.md");
    let row = |path: &str, mutates: bool| {
        let end = if mutates { "| yes |" } else { "| no |" };
        let found = page
            .lines()
            .find(|line| line.starts_with(&format!("| `{path}` |")));
        assert!(found.is_some_and(|line| line.ends_with(end)), "{path}");
    };
    macro_rules! rows {
        ($($call:ty),*) => {$(row(<$call>::PATH, <$call>::MUTATES);)*};
    }
    rows!(
        wire::Read,
        Scan,
        wire::Txn,
        wire::PutObject,
        wire::GetObject,
        wire::ListObjects
    );
    rows!(
        wire::ListInstances,
        wire::Reboot,
        Start,
        wire::Renew,
        wire::Checkpoint
    );
    rows!(wire::Throttle, wire::Stop, wire::Reports);
}
